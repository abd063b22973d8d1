"""Record what was seen in the log, for operators and for checkpoints."""

from collections import Counter, deque

from goldcrestwharf.replay._changes import ChangeHistory
from goldcrestwharf.replay._decisions import Decision
from goldcrestwharf.replay._envelope import SkipReason

_MAX_DECISIONS = 1000


class Journal:
    """The latest decisions and changes, and the counts of skipped records.

    ``newest_checkpoint`` is the highest ``through`` of a checkpoint seen,
    -1 before the first one.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.decisions: deque[Decision] = deque(maxlen=_MAX_DECISIONS)
        self.changes = ChangeHistory()
        self.skipped: Counter[SkipReason] = Counter()
        self.newest_checkpoint = -1

    def record_decision(self, decision: Decision) -> None:
        """Store ``decision``, and its change if it was accepted."""
        self.decisions.append(decision)
        if decision.change is not None:
            self.changes.add(decision.change)

    def reset(self) -> None:
        """Discard the decisions of a log that was replaced."""
        self.decisions.clear()
        self.newest_checkpoint = -1

    def record_checkpoint(self, through: int) -> None:
        """Record that the log holds a checkpoint up to ``through``."""
        self.newest_checkpoint = max(self.newest_checkpoint, through)

    def find(self, publish_id: str, *, since: int = 0) -> Decision | None:
        """Return the decision on a publish from the offset ``since`` on.

        The log may hold the same publish twice; an acceptance takes
        precedence over a refusal.
        """
        refused: Decision | None = None
        for decision in self.decisions:
            if decision.id != publish_id or decision.offset < since:
                continue
            if decision.version is not None:
                return decision
            refused = decision
        return refused
