"""Gather the options of a command in one attrs class."""

import functools
import inspect
from collections.abc import Callable
from typing import Any, TypeVar, get_type_hints

_OptionsT = TypeVar('_OptionsT')
_Command = Callable[..., None]


def takes(
    options_type: type[_OptionsT],
) -> Callable[[Callable[[_OptionsT], None]], _Command]:
    """Give a command the fields of ``options_type`` as its options.

    The decorated function gets one instance of the class.
    """

    def decorator(run: Callable[[_OptionsT], None]) -> _Command:
        @functools.wraps(run)
        def wrapper(**given: Any) -> None:
            run(options_type(**given))

        signature = inspect.signature(options_type)
        hints = get_type_hints(options_type, include_extras=True)
        wrapper.__dict__['__signature__'] = signature
        wrapper.__annotations__ = hints
        return wrapper

    return decorator
