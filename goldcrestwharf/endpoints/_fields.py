"""Check the types and bounds of the fields of an announcement."""

import re
from collections.abc import Callable, Mapping

import attrs

from goldcrestwharf.endpoints._errors import AnnouncementError, RefusalKind
from goldcrestwharf.endpoints._settings import EndpointSettings

NAME_PATTERN = re.compile('[a-z0-9][a-z0-9._-]{0,62}')

_MAX_PORT = 65_535


@attrs.frozen(kw_only=True)
class Field:
    """Describe one field; ``check`` returns what is wrong, if anything."""

    check: Callable[[object], str]
    is_required: bool = False


def make_fields(cfg: EndpointSettings) -> Mapping[str, Field]:
    """Return the fields of an announcement, by name."""
    name = _Text(pattern=NAME_PATTERN)
    free = _Text(pattern=re.compile('[ -~]{0,100}'))
    return {
        'group': Field(check=name.check, is_required=True),
        'slots': Field(
            check=_Number(low=1, high=cfg.max_slots).check,
            is_required=True,
        ),
        'port': Field(check=_PORT.check),
        'address': Field(check=free.check),
        'cold_start_ms': Field(
            check=_Number(low=0, high=cfg.max_cold_start_ms).check,
        ),
        'team': Field(check=free.check),
        'instance': Field(check=free.check),
    }


def check_fields(
    raw: Mapping[str, object],
    fields: Mapping[str, Field],
) -> None:
    """Raise :class:`AnnouncementError` for the first field that is wrong."""
    for name in raw:
        if name not in fields:
            allowed = ', '.join(fields)
            raise bad_field(
                f'unknown field "{name}"',
                f'use only {allowed}',
            )
    for name, field in fields.items():
        fault = _find_fault(raw, name, field)
        if fault:
            raise bad_field(f'field "{name}" {fault}', 'correct the field')


def check_port(written: str) -> str:
    """Return what is wrong with the text of a port, or an empty text."""
    if not written.isdecimal():
        return 'is no number'
    return _PORT.check(int(written))


def bad_field(reason: str, remedy: str) -> AnnouncementError:
    """Return the error for a field that is wrong."""
    return AnnouncementError(
        kind=RefusalKind.BAD_FIELD,
        reason=reason,
        remedy=remedy,
    )


@attrs.frozen(kw_only=True)
class _Text:
    """Accept a text that matches ``pattern`` as a whole."""

    pattern: re.Pattern[str]

    def check(self, raw: object) -> str:
        """Return what is wrong with ``raw``, or an empty text."""
        if not isinstance(raw, str):
            return 'is no text'
        if self.pattern.fullmatch(raw) is None:
            pattern = self.pattern.pattern
            return f'does not match {pattern}'
        return ''


@attrs.frozen(kw_only=True)
class _Number:
    """Accept a whole number between two bounds, both inclusive."""

    low: int
    high: int

    def check(self, raw: object) -> str:
        """Return what is wrong with ``raw``, or an empty text."""
        if isinstance(raw, bool) or not isinstance(raw, int):
            return 'is no whole number'
        if self.low <= raw <= self.high:
            return ''
        return f'is {raw}, allowed are {self.low} to {self.high}'


def _find_fault(raw: Mapping[str, object], name: str, field: Field) -> str:
    found = raw.get(name, attrs.NOTHING)
    if found is not attrs.NOTHING:
        return field.check(found)
    return 'is missing' if field.is_required else ''


_PORT = _Number(low=1, high=_MAX_PORT)
