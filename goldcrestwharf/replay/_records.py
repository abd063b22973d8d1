"""Define the records of the configuration stream."""

import attrs

from goldcrestwharf.replay._version import Version
from goldcrestwharf.wire import message

#: The stream of the platform's log that carries these records.
CONFIG_STREAM = 'config'


@attrs.frozen(kw_only=True)
class Origin:
    """Tell who published and when.

    ``published_at`` is ISO 8601 in UTC; nothing is decided by it.
    """

    author: str = ''
    note: str = ''
    published_at: str = ''


@message('replay.publish')
@attrs.frozen(kw_only=True)
class Publish:
    """Change the configuration from the version ``base``.

    ``base`` is ``None`` for the first configuration of all, ``rules`` the
    revision that the new set obeys, ``delta`` an encoded
    :class:`ObjectDelta` and ``digest`` that of the set that it leads to.
    """

    id: str
    base: Version | None
    rules: int
    delta: bytes
    digest: str
    origin: Origin = attrs.field(factory=Origin)


@message('replay.snapshot')
@attrs.frozen(kw_only=True)
class PackedSnapshot:
    """Hold a whole configuration with its encoded set ``objects``."""

    version: Version
    rules: int
    digest: str
    objects: bytes


@message('replay.checkpoint')
@attrs.frozen(kw_only=True)
class Checkpoint:
    """Hold the configuration in force after the record ``through``.

    ``through_mark`` is the mark of that record, by which a checkpoint that
    was made from another log is recognised.
    """

    through: int
    through_mark: bytes
    snapshot: PackedSnapshot


@message('replay.epoch-start')
@attrs.frozen(kw_only=True)
class EpochStart:
    """Start an epoch with a whole set, by an operator's command.

    The version of ``snapshot`` names the end of the log that its author
    saw. The record counts only if it stands just there, so that it can be
    judged from any part of the log.
    """

    id: str
    snapshot: PackedSnapshot
    origin: Origin = attrs.field(factory=Origin)


Record = Publish | Checkpoint | EpochStart
