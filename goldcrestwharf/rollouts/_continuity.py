"""Whether the controller has run without interruption."""

import math
from collections.abc import Callable

#: Seconds between two steps that show a pause of this process.
_MAX_STEP_INTERVAL_S = 1.0

#: Seconds after which a controller that has just taken over, or resumed, has
#: the totals of all daemons and the decisions of another controller.
_SETTLE_S = 1.2


class Continuity:
    """Times of the steps of a controller.

    After a pause or a change of role, another daemon may have decided, and
    what was received before is out of date.
    """

    def __init__(self, *, clock: Callable[[], float]) -> None:
        """Start without a step; ``clock`` returns monotonic seconds."""
        self._clock = clock
        self._stepped_at = -math.inf
        self._since = clock()

    @property
    def is_stale(self) -> bool:
        """Return whether the last step is too long ago to act on it."""
        return self._clock() - self._stepped_at > _MAX_STEP_INTERVAL_S

    @property
    def is_settled(self) -> bool:
        """Return whether the evidence of all daemons has arrived."""
        return self._clock() - self._since >= _SETTLE_S

    def record_step(self) -> None:
        """Record a step."""
        now = self._clock()
        if self.is_stale:
            self._since = now
        self._stepped_at = now

    def interrupt(self) -> None:
        """Record that another daemon controls the order."""
        self._stepped_at = -math.inf
