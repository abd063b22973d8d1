"""Replay the records of the log in order."""

from goldcrestwharf.replay._acceptance import judge_epoch, judge_publish
from goldcrestwharf.replay._decisions import Accepted, Verdict, decide
from goldcrestwharf.replay._envelope import Entry, SkipReason
from goldcrestwharf.replay._journal import Journal
from goldcrestwharf.replay._lineage import Lineage
from goldcrestwharf.replay._records import Checkpoint, EpochStart, Publish
from goldcrestwharf.replay._snapshot import Snapshot


class Replay:
    """Make the configuration in force from record after record.

    ``snapshot`` is ``None`` before the first accepted publish.
    """

    def __init__(
        self,
        *,
        journal: Journal,
        lineage: Lineage,
        snapshot: Snapshot | None = None,
    ) -> None:
        """Go on from ``snapshot``."""
        self.snapshot = snapshot
        self._journal = journal
        self._lineage = lineage
        if snapshot is not None:
            lineage.step(snapshot.version, snapshot)

    def take(self, entry: Entry) -> None:
        """Take the next record of the log.

        Raises :class:`UnknownRulesError` if this release can't judge it;
        the configuration is then as it was.
        """
        match entry.record:
            case Publish() as publish:
                verdict = judge_publish(self.snapshot, publish, entry.offset)
                self._settle(entry, publish, verdict)
            case EpochStart() as start:
                verdict = judge_epoch(self.snapshot, start, entry.offset)
                self._settle(entry, start, verdict)
            case Checkpoint() as checkpoint:
                self._note_checkpoint(entry, checkpoint)
            case SkipReason() as reason:
                self._journal.skipped[reason] += 1

    def _settle(
        self,
        entry: Entry,
        record: Publish | EpochStart,
        verdict: Verdict,
    ) -> None:
        decision = decide(entry.offset, record, verdict)
        self._journal.note_decision(decision)
        if isinstance(verdict, Accepted):
            self.snapshot = verdict.snapshot
            self._lineage.step(verdict.change.base, verdict.snapshot)

    def _note_checkpoint(self, entry: Entry, checkpoint: Checkpoint) -> None:
        # A late checkpoint from a paused holder is redundant, and one that
        # names records to come was made from another log.
        if checkpoint.through < entry.offset:
            self._journal.note_checkpoint(checkpoint.through)
