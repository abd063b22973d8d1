"""Read fields of the platform's documents, within bounds."""

from collections.abc import Mapping
from typing import Any, TypeVar

from goldcrestwharf.discovery import is_address
from goldcrestwharf.platform._values import (
    MAX_INT,
    MIN_INT,
    PlatformFormatError,
    show,
)

#: Greatest size of a number that may have a fraction.
_MAX_NUMBER = 1e12

#: Longest text of a field.
_MAX_TEXT_CHARS = 4096

_PlainT = TypeVar('_PlainT')


def get_field(
    document: Mapping[str, Any],
    name: str,
    expected: type[_PlainT],
) -> _PlainT:
    """Return a field of a document that must have the type ``expected``.

    Texts and numbers are bounded.
    """
    found = document.get(name)
    # bool is a subclass of int in Python, but not a number in JSON or YAML.
    is_flag = isinstance(found, bool) and expected is not bool
    if isinstance(found, expected) and not is_flag and _is_bounded(found):
        return found
    raise PlatformFormatError(
        reason=f'field {name!r} is {show(found)}, not a {expected.__name__}'
        f' within its bounds',
    )


def get_number(
    document: Mapping[str, Any], name: str, default: float = 0
) -> float:
    """Return a number of a document, ``default`` if it has none."""
    found = document.get(name, default)
    is_number = isinstance(found, int | float) and not isinstance(found, bool)
    if is_number and abs(found) <= _MAX_NUMBER:
        return float(found)
    raise PlatformFormatError(
        reason=f'field {name!r} is {show(found)}, not a number within bounds'
    )


def get_address(document: Mapping[str, Any], name: str) -> str:
    """Return a field that must be an address ``host:port``."""
    address = get_field(document, name, str)
    if is_address(address):
        return address
    raise PlatformFormatError(
        reason=f'field {name!r} is {show(address)}, not an address'
    )


def expect_table(document: object, place: str) -> Mapping[str, Any]:
    """Return ``document`` if it is a table; ``place`` names it in errors."""
    if isinstance(document, Mapping):
        return document
    raise PlatformFormatError(reason=f'{place} is {show(document)}, no table')


def _is_bounded(found: object) -> bool:
    if isinstance(found, str):
        return len(found) <= _MAX_TEXT_CHARS and is_unicode(found)
    if isinstance(found, int):
        return MIN_INT <= found <= MAX_INT
    return True


def is_unicode(text: str) -> bool:
    """Return whether ``text`` has no lone surrogates, so it can be encoded."""
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True
