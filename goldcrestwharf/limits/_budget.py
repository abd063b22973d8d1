"""Retry budget: limits retries to a fraction of the first attempts."""

from collections import deque

import attrs

from goldcrestwharf.timers import Timers

_PERCENT = 100
_BUCKET_COUNT = 10


@attrs.define(kw_only=True)
class _Bucket:
    """Counters of the attempts that began in one part of the window."""

    number: int
    first_attempts: int = 0
    retries: int = 0


class RetryBudget:
    """Limit on retries relative to first attempts in a sliding window.

    In any window the retries are at most ``floor`` plus ``percent`` percent
    of the first attempts of that window. The floor lets a service with few
    requests retry at all; a budget of 0 percent allows no retries.
    """

    def __init__(
        self,
        *,
        percent: int,
        timers: Timers,
        window: float = 10,
        floor: int = 3,
    ) -> None:
        """Count attempts over a sliding window of ``window`` seconds."""
        self._percent = percent
        self._timers = timers
        self._bucket_s = window / _BUCKET_COUNT
        self._floor = floor if percent else 0
        self._buckets: deque[_Bucket] = deque(maxlen=_BUCKET_COUNT)

    def record_first_attempt(self) -> None:
        """Count the first attempt of a request."""
        self._current().first_attempts += 1

    def may_retry(self) -> bool:
        """Return whether the budget allows one more retry."""
        self._current()
        first_attempts = sum(bucket.first_attempts for bucket in self._buckets)
        retries = sum(bucket.retries for bucket in self._buckets)
        allowed = self._floor + first_attempts * self._percent / _PERCENT
        return retries + 1 <= allowed

    def spend(self) -> bool:
        """Consume one retry if the budget allows it; return whether it did."""
        if not self.may_retry():
            return False
        self._current().retries += 1
        return True

    def _current(self) -> _Bucket:
        number = int(self._timers.now() // self._bucket_s)
        while (
            self._buckets and self._buckets[0].number <= number - _BUCKET_COUNT
        ):
            self._buckets.popleft()
        if not self._buckets or self._buckets[-1].number != number:
            self._buckets.append(_Bucket(number=number))
        return self._buckets[-1]
