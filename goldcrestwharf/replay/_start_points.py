"""Find the record from which replay can start without the earlier ones."""

import attrs

from goldcrestwharf.replay._acceptance import (
    evaluate_epoch_start,
    unpack_snapshot,
)
from goldcrestwharf.replay._decisions import Accepted
from goldcrestwharf.replay._envelope import Entry
from goldcrestwharf.replay._records import Checkpoint, EpochStart
from goldcrestwharf.replay._snapshot import Snapshot
from goldcrestwharf.replay._start_search import StartSearch


@attrs.frozen(kw_only=True)
class StartPoint:
    """The active configuration after the record at offset ``through``."""

    snapshot: Snapshot | None
    through: int


def find_start(search: StartSearch, entry: Entry) -> StartPoint | None:
    """Return the starting point that ``entry`` provides, if any.

    ``entry`` is the latest one added to ``search``. Raises
    :class:`UnknownRulesError` if this release can't evaluate it.
    """
    match entry.record:
        case Checkpoint() as checkpoint:
            return _start_at_checkpoint(search, checkpoint)
        case EpochStart() as start:
            return _start_at_epoch(search, entry.offset, start)
    return None


def _start_at_checkpoint(
    search: StartSearch, checkpoint: Checkpoint
) -> StartPoint | None:
    if not search.confirms_checkpoint(checkpoint):
        return None
    snapshot = unpack_snapshot(checkpoint.snapshot).value_or(None)
    if snapshot is None:
        return None
    return StartPoint(
        snapshot=attrs.evolve(snapshot, log_id=checkpoint.log_id),
        through=checkpoint.through,
    )


def _start_at_epoch(
    search: StartSearch,
    offset: int,
    start: EpochStart,
) -> StartPoint | None:
    if search.has_epoch(start.snapshot.version.epoch):
        return None
    if isinstance(evaluate_epoch_start(None, start, offset), Accepted):
        return StartPoint(snapshot=None, through=offset - 1)
    return None
