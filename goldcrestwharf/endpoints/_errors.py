"""Define why an announcement is refused."""

import enum

import attrs

from goldcrestwharf.errors import GoldcrestwharfError


class RefusalKind(enum.StrEnum):
    """Name the reason of a refusal, for programs."""

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
    """Report an announcement that was refused and changed nothing.

    ``retry_after`` is in seconds, ``None`` if a repetition is pointless.
    """

    kind: RefusalKind
    retry_after: float | None = None
