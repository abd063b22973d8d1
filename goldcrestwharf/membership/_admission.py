"""Bound the records that a daemon sends to all askers together."""

import random

from goldcrestwharf.timers import Timers

#: Askers that are refused together come back spread over this many seconds.
_SPREAD_S = 2


class Admission:
    """Allow so many records per second, with one second's worth at once."""

    def __init__(
        self,
        *,
        records_per_s: int,
        timers: Timers,
        rng: random.Random,
    ) -> None:
        """Start with a full second's worth."""
        self._rate = records_per_s
        self._timers = timers
        self._rng = rng
        self._room = float(records_per_s)
        self._refilled_at = timers.now()

    def wait_needed(self) -> float:
        """Return zero if an asker may be served, else when to come back.

        The wait is in seconds and drawn at random.
        """
        now = self._timers.now()
        refill = (now - self._refilled_at) * self._rate
        self._room = min(self._room + refill, float(self._rate))
        self._refilled_at = now
        if self._room > 0:
            return 0
        shortest = -self._room / self._rate
        return shortest + self._rng.uniform(0, _SPREAD_S)

    def spend(self, records: int) -> None:
        """Count records that are sent; the room may go below zero."""
        self._room -= records
