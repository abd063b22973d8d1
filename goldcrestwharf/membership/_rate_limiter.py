"""Limit the records per second that a daemon sends in comparisons."""

import random

from goldcrestwharf.timers import Timers

#: Random part of ``retry_after``: peers that were refused at the same time
#: spread their retries over this many seconds.
_MAX_JITTER_S = 2


class RecordRateLimiter:
    """Token bucket for records, with a burst of one second's worth.

    The limit covers all peers together.
    """

    def __init__(
        self,
        *,
        records_per_s: int,
        timers: Timers,
        rng: random.Random,
    ) -> None:
        """Start with a full bucket."""
        self._rate = records_per_s
        self._timers = timers
        self._rng = rng
        self._tokens = float(records_per_s)
        self._refilled_at = timers.now()

    def retry_after(self) -> float:
        """Return zero if a peer may be served, else how long it should wait.

        The wait is in seconds and has a random part.
        """
        now = self._timers.now()
        refill = (now - self._refilled_at) * self._rate
        self._tokens = min(self._tokens + refill, float(self._rate))
        self._refilled_at = now
        if self._tokens > 0:
            return 0
        shortest = -self._tokens / self._rate
        return shortest + self._rng.uniform(0, _MAX_JITTER_S)

    def consume(self, records: int) -> None:
        """Take tokens for records that are sent; they may go below zero."""
        self._tokens -= records
