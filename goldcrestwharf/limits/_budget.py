"""Bound retries as a share of first tries."""

from collections import deque

import attrs

from goldcrestwharf.timers import Timers

_PERCENT = 100
_BUCKETS = 10


@attrs.define(kw_only=True)
class _Bucket:
    """Count the tries that began in one part of the window."""

    number: int
    first_tries: int = 0
    retries: int = 0


class RetryBudget:
    """Allow retries up to a share of the first tries in a sliding window.

    In any window the retries are at most ``floor`` plus ``percent`` of the
    first tries of that window. The floor lets a service with few requests
    retry at all; a budget of 0 percent allows none.
    """

    def __init__(
        self,
        *,
        percent: int,
        timers: Timers,
        window: float = 10,
        floor: int = 3,
    ) -> None:
        """Look back over ``window`` seconds."""
        self._percent = percent
        self._timers = timers
        self._bucket_seconds = window / _BUCKETS
        self._floor = floor if percent else 0
        self._buckets: deque[_Bucket] = deque(maxlen=_BUCKETS)

    def note_first_try(self) -> None:
        """Count a request that begins."""
        self._current().first_tries += 1

    def may_retry(self) -> bool:
        """Tell whether one more retry fits the budget."""
        self._current()
        first_tries = sum(bucket.first_tries for bucket in self._buckets)
        retries = sum(bucket.retries for bucket in self._buckets)
        allowed = self._floor + first_tries * self._percent / _PERCENT
        return retries + 1 <= allowed

    def spend(self) -> bool:
        """Take one retry from the budget; tell whether there was one."""
        if not self.may_retry():
            return False
        self._current().retries += 1
        return True

    def _current(self) -> _Bucket:
        number = int(self._timers.now() // self._bucket_seconds)
        while self._buckets and self._buckets[0].number <= number - _BUCKETS:
            self._buckets.popleft()
        if not self._buckets or self._buckets[-1].number != number:
            self._buckets.append(_Bucket(number=number))
        return self._buckets[-1]
