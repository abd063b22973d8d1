"""Decode the values that the platform writes in its own forms."""

import re
from collections.abc import Mapping
from typing import Any, TypeVar

_MS_PER_S = 1000
_VERSION = re.compile('r([0-9]+)')

_PlainT = TypeVar('_PlainT')


class PlatformFormatError(Exception):
    """Report a document of the platform that can't be used."""

    def __init__(self, *, reason: str) -> None:
        """Say what is wrong, and where."""
        super().__init__(reason)
        self.reason = reason


def seconds(written: object) -> float:
    """Return the seconds of a time such as ``1500ms`` or ``2.5s``."""
    if isinstance(written, str):
        number, unit = written.rstrip('ms'), written.lstrip('-.0123456789')
        scale = {'ms': _MS_PER_S, 's': 1}.get(unit)
        if scale is not None:
            return _number(number, written) / scale
    raise PlatformFormatError(reason=f'{written!r} is no time with a unit')


def version_number(written: object) -> int:
    """Return the number of a configuration version such as ``r12``."""
    found = _VERSION.fullmatch(written) if isinstance(written, str) else None
    if found is not None:
        return int(found.group(1))
    raise PlatformFormatError(reason=f'{written!r} is no version')


def take(
    document: Mapping[str, Any],
    name: str,
    expected: type[_PlainT],
) -> _PlainT:
    """Return a field of a document; its type has to be ``expected``."""
    found = document.get(name)
    # A flag is an int to Python, but not to who wrote the document.
    is_flag = isinstance(found, bool) and expected is not bool
    if isinstance(found, expected) and not is_flag:
        return found
    raise PlatformFormatError(
        reason=f'field {name!r} is {found!r}, not a {expected.__name__}',
    )


def take_table(document: object, place: str) -> Mapping[str, Any]:
    """Return ``document`` if it is a table."""
    if isinstance(document, Mapping):
        return document
    raise PlatformFormatError(reason=f'{place} is {document!r}, not a table')


def _number(written: str, whole: str) -> float:
    try:
        return float(written)
    except ValueError as exc:
        raise PlatformFormatError(
            reason=f'{whole!r} is no time with a unit',
        ) from exc
