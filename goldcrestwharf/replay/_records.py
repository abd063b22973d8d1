"""Define the records of the configuration stream."""

import attrs

from goldcrestwharf.replay._version import Version
from goldcrestwharf.wire import message

#: The stream of the platform's log that carries these records.
CONFIG_STREAM = 'config'


@attrs.frozen(kw_only=True)
class Origin:
    """Who published and when.

    ``published_at`` is ISO 8601 in UTC; it is for display only.
    """

    author: str = ''
    note: str = ''
    published_at: str = ''


@message('replay.publish')
@attrs.frozen(kw_only=True)
class Publish:
    """A change of the configuration from the version ``base``.

    ``base`` is ``None`` for the very first configuration, ``rules`` the
    revision of the rules that the new set obeys, ``delta`` an encoded
    :class:`ObjectDelta` and ``digest`` that of the resulting set.
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
    """A whole configuration; ``objects`` is the encoded set."""

    version: Version
    rules: int
    digest: str
    objects: bytes


@message('replay.checkpoint')
@attrs.frozen(kw_only=True)
class Checkpoint:
    """The active configuration after the record at offset ``through``.

    ``through_mark`` is the digest of that record's body, by which a
    checkpoint that was made from another log is detected. ``log_id`` is the
    identity of the log, empty if it is not known.
    """

    through: int
    through_mark: bytes
    snapshot: PackedSnapshot
    log_id: str = ''


@message('replay.epoch-start')
@attrs.frozen(kw_only=True)
class EpochStart:
    """The start of an epoch with a whole set, by an operator's command.

    The version of ``snapshot`` holds the end offset of the log that its
    author saw. The record is accepted only at exactly that offset, so that a
    reader can evaluate it without the records before it.
    """

    id: str
    snapshot: PackedSnapshot
    origin: Origin = attrs.field(factory=Origin)


Record = Publish | Checkpoint | EpochStart
