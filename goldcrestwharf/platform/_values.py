"""Decode values in the formats of the platform."""

import re
from collections.abc import Mapping
from typing import Any, TypeVar

_MS_PER_S = 1000
_VERSION = re.compile('r([0-9]+)')

_PlainT = TypeVar('_PlainT')


class PlatformFormatError(Exception):
    """Raised for an invalid document of the platform."""

    def __init__(self, *, reason: str) -> None:
        """Describe the error and its place in ``reason``."""
        super().__init__(reason)
        self.reason = reason


def parse_duration(written: object) -> float:
    """Return the seconds of a duration such as ``1500ms`` or ``2.5s``."""
    if isinstance(written, str):
        number, unit = written.rstrip('ms'), written.lstrip('-.0123456789')
        scale = {'ms': _MS_PER_S, 's': 1}.get(unit)
        if scale is not None:
            return _number(number, written) / scale
    raise PlatformFormatError(reason=f'{written!r} is not a duration')


def parse_version(written: object) -> int:
    """Return the number of a configuration version such as ``r12``."""
    found = _VERSION.fullmatch(written) if isinstance(written, str) else None
    if found is not None:
        return int(found.group(1))
    raise PlatformFormatError(reason=f'{written!r} is not a version')


def get_field(
    document: Mapping[str, Any],
    name: str,
    expected: type[_PlainT],
) -> _PlainT:
    """Return a field of a document that must have the type ``expected``."""
    found = document.get(name)
    # bool is a subclass of int in Python, but not a number in JSON or YAML.
    is_flag = isinstance(found, bool) and expected is not bool
    if isinstance(found, expected) and not is_flag:
        return found
    raise PlatformFormatError(
        reason=f'field {name!r} is {found!r}, not a {expected.__name__}',
    )


def expect_table(document: object, place: str) -> Mapping[str, Any]:
    """Return ``document`` if it is a table; ``place`` names it in errors."""
    if isinstance(document, Mapping):
        return document
    raise PlatformFormatError(reason=f'{place} is {document!r}, not a table')


def _number(written: str, text: str) -> float:
    try:
        return float(written)
    except ValueError as exc:
        raise PlatformFormatError(
            reason=f'{text!r} is not a duration',
        ) from exc
