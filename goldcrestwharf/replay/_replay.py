"""Replay the records of the log in order."""

import attrs

from goldcrestwharf.replay._acceptance import (
    evaluate_epoch_start,
    evaluate_publish,
)
from goldcrestwharf.replay._decisions import (
    Accepted,
    EvaluationResult,
    make_decision,
)
from goldcrestwharf.replay._envelope import Entry, SkipReason
from goldcrestwharf.replay._journal import Journal
from goldcrestwharf.replay._lineage import Lineage
from goldcrestwharf.replay._records import Checkpoint, EpochStart, Publish
from goldcrestwharf.replay._snapshot import Snapshot


class Replay:
    """The active configuration, computed by applying records in order.

    ``snapshot`` is ``None`` before the first accepted publish. ``log_id`` is
    the identity of the log that is read, empty if it is not known.
    """

    def __init__(
        self,
        *,
        journal: Journal,
        lineage: Lineage,
        snapshot: Snapshot | None = None,
        log_id: str = '',
    ) -> None:
        """Continue from ``snapshot``."""
        self.snapshot = snapshot
        self.log_id = log_id
        self._journal = journal
        self._lineage = lineage
        if snapshot is not None:
            lineage.record_step(snapshot.version, snapshot)

    def apply(self, entry: Entry) -> None:
        """Apply the next record of the log.

        Raises :class:`UnknownRulesError` if this release can't evaluate it;
        the configuration is then unchanged.
        """
        match entry.record:
            case Publish() as publish:
                evaluation = evaluate_publish(
                    self.snapshot, publish, entry.offset
                )
                self._apply_result(entry, publish, evaluation)
            case EpochStart() as start:
                evaluation = evaluate_epoch_start(
                    self.snapshot, start, entry.offset
                )
                self._apply_result(entry, start, evaluation)
            case Checkpoint() as checkpoint:
                self._record_checkpoint(entry, checkpoint)
            case SkipReason() as reason:
                self._journal.skipped[reason] += 1

    def _apply_result(
        self,
        entry: Entry,
        record: Publish | EpochStart,
        evaluation: EvaluationResult,
    ) -> None:
        decision = make_decision(entry.offset, record, evaluation)
        self._journal.record_decision(decision)
        if isinstance(evaluation, Accepted):
            self.snapshot = attrs.evolve(
                evaluation.snapshot, log_id=self.log_id
            )
            self._lineage.record_step(
                evaluation.change.base, evaluation.snapshot
            )

    def _record_checkpoint(self, entry: Entry, checkpoint: Checkpoint) -> None:
        # A late checkpoint from a paused daemon is redundant, and one whose
        # ``through`` isn't before its own offset was made from another log.
        if checkpoint.through < entry.offset:
            self._journal.record_checkpoint(checkpoint.through)
