"""Errors of target registration."""

import enum

import attrs

from goldcrestwharf.errors import GoldcrestwharfError


class RefusalKind(enum.StrEnum):
    """Machine-readable reason of a refusal."""

    BAD_JSON = 'bad-json'
    BAD_FIELD = 'bad-field'
    BAD_NAME = 'bad-name'
    FOREIGN_ADDRESS = 'foreign-address'
    FOREIGN_TEAM = 'foreign-team'
    NAME_TAKEN = 'name-taken'
    LEAVING = 'leaving'
    UNKNOWN_TARGET = 'unknown-target'
    TOO_LARGE = 'too-large'
    TOO_MANY = 'too-many'


@attrs.define(kw_only=True)
class AnnouncementError(GoldcrestwharfError):
    """An announcement was refused; nothing has changed.

    ``retry_after`` is in seconds, ``None`` if retrying won't help.
    """

    kind: RefusalKind
    retry_after: float | None = None
