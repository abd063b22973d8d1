"""Record what was seen in the log, for people and for checkpoints."""

from collections import Counter, deque

from goldcrestwharf.replay._changes import ChangeHistory
from goldcrestwharf.replay._decisions import Decision
from goldcrestwharf.replay._envelope import SkipReason

_MAX_DECISIONS = 1000


class Journal:
    """Keep the latest decisions and changes, and count what was skipped.

    ``newest_checkpoint`` is the highest ``through`` of a checkpoint seen,
    -1 before the first one.
    """

    def __init__(self) -> None:
        """Start without any."""
        self.decisions: deque[Decision] = deque(maxlen=_MAX_DECISIONS)
        self.changes = ChangeHistory()
        self.skipped: Counter[SkipReason] = Counter()
        self.newest_checkpoint = -1

    def note_decision(self, decision: Decision) -> None:
        """Keep ``decision``, and its change if it was accepted."""
        self.decisions.append(decision)
        if decision.change is not None:
            self.changes.add(decision.change)

    def start_over(self) -> None:
        """Forget the decisions of a log that was replaced."""
        self.decisions.clear()
        self.newest_checkpoint = -1

    def note_checkpoint(self, through: int) -> None:
        """Remember that the log holds a checkpoint up to ``through``."""
        self.newest_checkpoint = max(self.newest_checkpoint, through)

    def find(self, publish_id: str, *, since: int = 0) -> Decision | None:
        """Return the decision on a publish from the offset ``since`` on.

        The same publish may stand in the log twice; an acceptance goes
        before a refusal.
        """
        refused: Decision | None = None
        for decision in self.decisions:
            if decision.id != publish_id or decision.offset < since:
                continue
            if decision.version is not None:
                return decision
            refused = decision
        return refused
