"""Limit on the requests per second that a target gets."""

from collections.abc import Callable

#: Seconds of the limit that may be sent at once after a pause.
_BURST_S = 0.1

#: Least rate in requests per second. Without any request there is no answer
#: that could end the limit.
_MIN_RATE_PER_S = 0.5


class RateLimit:
    """Token bucket with the rate that the target names.

    All requests to a target pass through the daemon on its VM, so the limit
    holds for all daemons together, also during a partition.
    """

    def __init__(self, *, clock: Callable[[], float]) -> None:
        """Start without a limit; ``clock`` returns monotonic seconds."""
        self.limit: float | None = None
        self._clock = clock
        self._tokens: float = 0
        self._counted_at = clock()

    def apply(self, limit: float | None) -> None:
        """Apply a limit in requests per second; ``None`` ends it."""
        if limit == self.limit:
            return
        if self.limit is None:
            # Whatever was sent before may have reached the target just now.
            self._tokens = 0
            self._counted_at = self._clock()
        self._refill()
        self.limit = limit

    def try_take(self) -> bool:
        """Count a request if it may be sent now; return whether it may."""
        if self.limit is None:
            return True
        self._refill()
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def find_wait(self, ahead: int) -> float:
        """Return the seconds until a request behind ``ahead`` others."""
        if self.limit is None:
            return 0
        self._refill()
        missing = ahead + 1 - self._tokens
        return max(missing, 0) / self._rate

    @property
    def _rate(self) -> float:
        return max(self.limit or 0, _MIN_RATE_PER_S)

    def _refill(self) -> None:
        now = self._clock()
        rate = self._rate
        most = max(rate * _BURST_S, 1)
        earned = (now - self._counted_at) * rate
        self._tokens = min(self._tokens + earned, most)
        self._counted_at = now
