"""Buffer records while a reader searches for a starting point."""

from collections.abc import Iterator

import attrs

from goldcrestwharf.replay._acceptance import FIRST_EPOCH, evaluate_publish
from goldcrestwharf.replay._decisions import Accepted
from goldcrestwharf.replay._envelope import Entry, SkipReason
from goldcrestwharf.replay._records import (
    Checkpoint,
    EpochStart,
    Publish,
    Record,
)
from goldcrestwharf.replay._snapshot import Snapshot
from goldcrestwharf.replay._version import Version


class StartSearch:
    """The records from ``first_offset`` on, until one is a starting point.

    ``log_id`` is the identity of the log. A paused publisher may have repeated
    records of another log here, so records alone can't rule that log out.
    """

    def __init__(self, *, first_offset: int, log_id: str = '') -> None:
        """Start at ``first_offset``, the earliest offset in the log."""
        self.first_offset = first_offset
        self._log_id = log_id
        self._entries: list[Entry] = []

    def add(self, entry: Entry) -> None:
        """Append ``entry``, the next one in the log.

        The sets in checkpoints are discarded, because checkpoints are not
        replayed.
        """
        if isinstance(entry.record, Checkpoint):
            entry = attrs.evolve(entry, record=_without_objects(entry.record))
        self._entries.append(entry)

    def is_other_log(self, log_id: str) -> bool:
        """Return whether ``log_id`` is known to be another log's."""
        return bool(log_id and self._log_id) and log_id != self._log_id

    def confirms_checkpoint(self, checkpoint: Checkpoint) -> bool:
        """Return whether ``checkpoint`` was made from the buffered records.

        The last record that it covers has to be buffered: a checkpoint that
        was made from another log refers to a missing or different record.
        """
        if self.is_other_log(checkpoint.log_id):
            return False
        index = checkpoint.through - self.first_offset
        if not 0 <= index < len(self._entries):
            return False
        if checkpoint.snapshot.version.offset > checkpoint.through:
            return False
        return self._entries[index].body_digest == checkpoint.through_mark

    def confirms_snapshot(self, snapshot: Snapshot) -> bool:
        """Return whether the buffered record of its version matches it.

        A record that can't have created this version was refused, or is from
        another log.
        """
        version = snapshot.version
        index = version.offset - self.first_offset
        if not 0 <= index < len(self._entries):
            return False
        match self._entries[index].record:
            case Publish(base=base, digest=digest):
                is_possible = _may_lead_to(base, version)
                return is_possible and digest == snapshot.digest
            case EpochStart(snapshot=packed):
                created = (packed.version, packed.digest)
                return created == (version, snapshot.digest)
        return False

    def confirms_successor(self, snapshot: Snapshot) -> bool:
        """Return whether the first buffered record changes ``snapshot``.

        Raises :class:`UnknownRulesError` if this release can't evaluate it.
        """
        for entry in self._entries[:1]:
            if isinstance(entry.record, Publish):
                evaluation = evaluate_publish(
                    snapshot, entry.record, entry.offset
                )
                return isinstance(evaluation, Accepted)
        return False

    def has_epoch(self, epoch: int) -> bool:
        """Return whether a buffered record is of ``epoch`` or later."""
        return any(_epoch_of(entry.record) >= epoch for entry in self._entries)

    def after(self, offset: int) -> Iterator[Entry]:
        """Yield the entries after ``offset``."""
        index = max(offset + 1 - self.first_offset, 0)
        yield from self._entries[index:]


def _may_lead_to(base: Version | None, version: Version) -> bool:
    if base is None:
        return version.epoch == FIRST_EPOCH
    return base.epoch == version.epoch and base.offset < version.offset


def _without_objects(checkpoint: Checkpoint) -> Checkpoint:
    emptied = attrs.evolve(checkpoint.snapshot, objects=b'')
    return attrs.evolve(checkpoint, snapshot=emptied)


def _epoch_of(record: Record | SkipReason) -> int:
    match record:
        case Publish(base=Version(epoch=epoch)):
            return epoch
        case Checkpoint(snapshot=packed):
            return packed.version.epoch
    return 0
