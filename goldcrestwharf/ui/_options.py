"""Declare the options of a command as an attrs class."""

import functools
import inspect
from collections.abc import Callable
from typing import Any, TypeVar, get_type_hints

_OptionsT = TypeVar('_OptionsT')
_Command = Callable[..., None]


def takes_options(
    options_type: type[_OptionsT],
) -> Callable[[Callable[[_OptionsT], None]], _Command]:
    """Return a decorator that turns the fields of a class into options.

    The decorated function receives an instance of ``options_type``; the
    returned command has the signature that Typer needs.
    """

    def decorator(run: Callable[[_OptionsT], None]) -> _Command:
        @functools.wraps(run)
        def wrapper(**options: Any) -> None:
            run(options_type(**options))

        signature = inspect.signature(options_type)
        hints = get_type_hints(options_type, include_extras=True)
        wrapper.__dict__['__signature__'] = signature
        wrapper.__annotations__ = hints
        return wrapper

    return decorator
