"""Types and limits of the fields of an announcement."""

import re
from collections.abc import Callable, Mapping

import attrs

from goldcrestwharf.endpoints._errors import AnnouncementError, RefusalKind
from goldcrestwharf.endpoints._settings import EndpointSettings

NAME_PATTERN = re.compile('[a-z0-9][a-z0-9._-]{0,62}')

_MAX_PORT = 65_535


@attrs.frozen(kw_only=True)
class Field:
    """A field; ``check`` returns the problem with a value, if any."""

    check: Callable[[object], str]
    is_required: bool = False


def make_fields(cfg: EndpointSettings) -> Mapping[str, Field]:
    """Return the fields of an announcement, by name."""
    name = _StringField(pattern=NAME_PATTERN)
    printable = _StringField(pattern=re.compile('[ -~]{0,100}'))
    return {
        'group': Field(check=name.check, is_required=True),
        'slots': Field(
            check=_IntegerField(low=1, high=cfg.max_slots).check,
            is_required=True,
        ),
        'port': Field(check=_PORT.check),
        'address': Field(check=printable.check),
        'cold_start_ms': Field(
            check=_IntegerField(low=0, high=cfg.max_cold_start_ms).check,
        ),
        'team': Field(check=printable.check),
        'instance': Field(check=printable.check),
    }


def check_fields(
    raw: Mapping[str, object],
    fields: Mapping[str, Field],
) -> None:
    """Raise :class:`AnnouncementError` for the first invalid field."""
    for name in raw:
        if name not in fields:
            allowed = ', '.join(fields)
            raise bad_field(
                f'unknown field "{name}"',
                f'use only {allowed}',
            )
    for name, field in fields.items():
        problem = _find_problem(raw, name, field)
        if problem:
            raise bad_field(f'field "{name}" {problem}', 'correct the field')


def check_port(text: str) -> str:
    """Return the problem with a port, or an empty string."""
    if not text.isdecimal():
        return 'is not a number'
    return _PORT.check(int(text))


def bad_field(reason: str, remedy: str) -> AnnouncementError:
    """Return the error for an invalid field."""
    return AnnouncementError(
        kind=RefusalKind.BAD_FIELD,
        reason=reason,
        remedy=remedy,
    )


@attrs.frozen(kw_only=True)
class _StringField:
    """String field that must match ``pattern`` completely."""

    pattern: re.Pattern[str]

    def check(self, raw: object) -> str:
        """Return the problem with ``raw``, or an empty string."""
        if not isinstance(raw, str):
            return 'is not a string'
        if self.pattern.fullmatch(raw) is None:
            pattern = self.pattern.pattern
            return f'does not match {pattern}'
        return ''


@attrs.frozen(kw_only=True)
class _IntegerField:
    """Integer field with inclusive bounds."""

    low: int
    high: int

    def check(self, raw: object) -> str:
        """Return the problem with ``raw``, or an empty string."""
        if isinstance(raw, bool) or not isinstance(raw, int):
            return 'is not an integer'
        if self.low <= raw <= self.high:
            return ''
        return f'is {raw}, must be between {self.low} and {self.high}'


def _find_problem(raw: Mapping[str, object], name: str, field: Field) -> str:
    found = raw.get(name, attrs.NOTHING)
    if found is not attrs.NOTHING:
        return field.check(found)
    return 'is missing' if field.is_required else ''


_PORT = _IntegerField(low=1, high=_MAX_PORT)
