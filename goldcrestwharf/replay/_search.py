"""Find the record from which a reader without the earlier ones can start."""

import attrs

from goldcrestwharf.replay._acceptance import judge_epoch, unpack_snapshot
from goldcrestwharf.replay._decisions import Accepted
from goldcrestwharf.replay._envelope import Entry
from goldcrestwharf.replay._records import Checkpoint, EpochStart
from goldcrestwharf.replay._seek import Seek
from goldcrestwharf.replay._snapshot import Snapshot


@attrs.frozen(kw_only=True)
class Start:
    """Hold the configuration in force after the record ``through``."""

    snapshot: Snapshot | None
    through: int


def find_start(seek: Seek, entry: Entry) -> Start | None:
    """Return the start that ``entry`` gives, the latest one of ``seek``.

    Raises :class:`UnknownRulesError` if this release can't judge it.
    """
    match entry.record:
        case Checkpoint() as checkpoint:
            return _start_at_checkpoint(seek, checkpoint)
        case EpochStart() as start:
            return _start_at_epoch(seek, entry.offset, start)
    return None


def _start_at_checkpoint(seek: Seek, checkpoint: Checkpoint) -> Start | None:
    if not seek.confirms(checkpoint):
        return None
    snapshot = unpack_snapshot(checkpoint.snapshot).value_or(None)
    if snapshot is None:
        return None
    return Start(snapshot=snapshot, through=checkpoint.through)


def _start_at_epoch(
    seek: Seek,
    offset: int,
    start: EpochStart,
) -> Start | None:
    if seek.knows_epoch(start.snapshot.version.epoch):
        return None
    if isinstance(judge_epoch(None, start, offset), Accepted):
        return Start(snapshot=None, through=offset - 1)
    return None
