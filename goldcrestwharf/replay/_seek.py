"""Find where a reader that lacks the earlier records can start."""

from collections.abc import Iterator

import attrs

from goldcrestwharf.replay._envelope import Entry, SkipReason
from goldcrestwharf.replay._records import (
    Checkpoint,
    EpochStart,
    Publish,
    Record,
)
from goldcrestwharf.replay._snapshot import Snapshot
from goldcrestwharf.replay._version import Version


class Seek:
    """Buffer records from ``start`` on until one gives a starting point."""

    def __init__(self, *, start: int) -> None:
        """Begin at the offset ``start``, the earliest one kept."""
        self.start = start
        self._kept: list[Entry] = []

    def add(self, entry: Entry) -> None:
        """Keep ``entry``, the next one in the log.

        The sets in checkpoints are dropped, since they are not replayed.
        """
        if isinstance(entry.record, Checkpoint):
            entry = attrs.evolve(entry, record=_without_set(entry.record))
        self._kept.append(entry)

    def confirms(self, checkpoint: Checkpoint) -> bool:
        """Tell whether ``checkpoint`` was made from the records kept here.

        Its last record has to be at hand: one that was made from another
        log names a record that is not there or differs.
        """
        index = checkpoint.through - self.start
        if not 0 <= index < len(self._kept):
            return False
        if checkpoint.snapshot.version.offset > checkpoint.through:
            return False
        return self._kept[index].mark == checkpoint.through_mark

    def confirms_snapshot(self, snapshot: Snapshot) -> bool:
        """Tell whether the record of its version led to ``snapshot``."""
        index = snapshot.version.offset - self.start
        if not 0 <= index < len(self._kept):
            return False
        match self._kept[index].record:
            case Publish(digest=digest):
                return digest == snapshot.digest
            case EpochStart(snapshot=packed):
                return packed.digest == snapshot.digest
        return False

    def knows_epoch(self, epoch: int) -> bool:
        """Tell whether a record kept here is of ``epoch`` or a later one."""
        return any(_epoch_of(entry.record) >= epoch for entry in self._kept)

    def after(self, offset: int) -> Iterator[Entry]:
        """Yield the entries after ``offset``."""
        index = max(offset + 1 - self.start, 0)
        yield from self._kept[index:]


def _without_set(checkpoint: Checkpoint) -> Checkpoint:
    emptied = attrs.evolve(checkpoint.snapshot, objects=b'')
    return attrs.evolve(checkpoint, snapshot=emptied)


def _epoch_of(record: Record | SkipReason) -> int:
    match record:
        case Publish(base=Version(epoch=epoch)):
            return epoch
        case Checkpoint(snapshot=packed):
            return packed.version.epoch
    return 0
