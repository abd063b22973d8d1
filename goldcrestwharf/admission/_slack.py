"""Lower bound of the time that queued requests can still lose."""

import math

from goldcrestwharf.admission._slot_state import SlotState


class SlackBound:
    """Least slack of the queued requests, without a look at each of them.

    The slack of a request is the time in seconds by which its start may be
    delayed. All of them lose the time that passes and the slot time that is
    added to the queue, and win the slot time that leaves it.
    """

    def __init__(self, *, state: SlotState) -> None:
        """Start with an empty queue."""
        self._state = state
        self._least = math.inf
        self._lost: float = 0
        self._counted_at = state.now()

    @property
    def is_spent(self) -> bool:
        """Return whether a queued request may have become hopeless."""
        return self._count() > self._least

    def record_added(self, cost: float, slack: float) -> None:
        """Count a request that is queued with its slack."""
        lost = self._count() + self._state.share(cost)
        self._lost = lost
        self._least = min(self._least, lost + slack)

    def record_taken(self, cost: float) -> None:
        """Count a request that leaves the front of the queue."""
        self._lost = self._count() - self._state.share(cost)

    def reset(self, least: float) -> None:
        """Start with the least slack of all requests."""
        self._least = least
        self._lost = 0
        self._counted_at = self._state.now()

    def _count(self) -> float:
        now = self._state.now()
        self._lost += now - self._counted_at
        self._counted_at = now
        return self._lost
