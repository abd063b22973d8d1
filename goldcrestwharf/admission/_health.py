"""Judge a target by the requests that it runs."""

import math

#: Weight of one more outcome in the recent share of failures.
_WEIGHT = 0.08

#: Seconds in which the share of failures halves while nothing is learnt, so
#: that a target that was avoided gets requests again.
_HALF_LIFE_S = 4.0

#: Seconds until a target that can't be connected to is tried again.
_RETRY_AFTER_S = 0.4


class TargetHealth:
    """Keep the recent share of failures and whether a target is down.

    Evidence of real requests goes before what a target says of itself.
    """

    def __init__(self) -> None:
        """Hold the target for sound."""
        self._failure_share: float = 0
        self._learnt_at: float = 0
        self._down_since: float | None = None
        self._tried_at: float = 0

    @property
    def is_down(self) -> bool:
        """Tell whether connections to the target failed last."""
        return self._down_since is not None

    def forget(self) -> None:
        """Start anew, for another process of the target."""
        self._failure_share = 0

    def failure_share(self, now: float) -> float:
        """Return the recent share of failures, 0 to 1."""
        halvings = (now - self._learnt_at) / _HALF_LIFE_S
        return self._failure_share * math.pow(2, -halvings)

    def note_outcome(self, *, has_failed: bool, now: float) -> None:
        """Take in how a request ended."""
        share = self.failure_share(now)
        self._failure_share = share + (float(has_failed) - share) * _WEIGHT
        self._learnt_at = now

    def note_connected(self) -> None:
        """Hold the target for reachable."""
        self._down_since = None

    def note_unreachable(self, now: float) -> bool:
        """Hold the target for down; tell whether that is news."""
        is_news = self._down_since is None
        self._tried_at = now
        if is_news:
            self._down_since = now
        return is_news

    def may_try(self, now: float) -> bool:
        """Tell whether a request may be sent, one at a time while down."""
        if self._down_since is None:
            return True
        if now - self._tried_at < _RETRY_AFTER_S:
            return False
        self._tried_at = now
        return True
