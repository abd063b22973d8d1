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

    def note_checkpoint(self, through: int) -> None:
        """Remember that the log holds a checkpoint up to ``through``."""
        self.newest_checkpoint = max(self.newest_checkpoint, through)

    def find(self, publish_id: str) -> Decision | None:
        """Return the decision on a publish, an acceptance before a refusal."""
        found = [each for each in self.decisions if each.id == publish_id]
        accepted = [each for each in found if each.version is not None]
        return next(iter(accepted + found), None)
