"""End of the move of all requests to the new version."""

from collections.abc import Callable, Iterable

from goldcrestwharf.rollouts._book import EvidenceBook
from goldcrestwharf.rollouts._order import Phase, RolloutState

#: Least time for which requests move, in seconds: a fault that shows under full
#: load must be seen before the old targets stop. An idle report of an old
#: target counts after some time, when all entries know the phase.
_MIN_MOVING_S = 1.2
_MOVE_KNOWN_S = 0.4


class Move:
    """Progress of the move; ``is_done`` once the old targets may stop."""

    def __init__(self, *, limit: float, clock: Callable[[], float]) -> None:
        """Let requests move for ``limit`` seconds at most."""
        self.is_done = False
        self._limit = limit
        self._clock = clock
        self._began_at: float | None = None

    def note_phase(self, state: RolloutState) -> None:
        """Note when this daemon learned that requests move."""
        if state.phase is Phase.MOVING and self._began_at is None:
            self._began_at = self._clock()

    def step(self, old: Iterable[str], book: EvidenceBook) -> None:
        """Finish when the old targets are idle, or in any case after a time.

        ``old`` names the daemons beside them.
        """
        began_at = self._began_at or 0
        elapsed = self._clock() - began_at
        is_idle = elapsed >= _MIN_MOVING_S and book.are_idle(
            old, began_at + _MOVE_KNOWN_S
        )
        self.is_done = is_idle or elapsed >= self._limit
