"""Demand for the tokens of one workspace at one entry."""

import math

#: Time constant of the average, in seconds.
_TIME_CONSTANT_S = 1.0

#: Tokens per second from which on they are prefetched.
_MIN_PREFETCH_RATE = 5.0

#: Seconds of demand that are prefetched, and the most tokens.
_PREFETCH_S = 0.1
_MAX_PREFETCH = 16


class Demand:
    """Moving average of the tokens used, and how many to hold in stock.

    Refused requests don't count, since the stocks of all entries together
    would otherwise exceed the limit during an overload.
    """

    def __init__(self) -> None:
        """Start without demand."""
        self._used: float = 0
        self._counted_at: float = 0

    def record(self, now: float) -> None:
        """Count a token that was used at the monotonic time ``now``."""
        self._used = self._decayed(now) + 1
        self._counted_at = now

    def find_target(self, now: float) -> int:
        """Return the number of tokens to hold in stock."""
        rate = self._decayed(now) / _TIME_CONSTANT_S
        if rate < _MIN_PREFETCH_RATE:
            return 0
        return min(math.ceil(rate * _PREFETCH_S), _MAX_PREFETCH)

    def _decayed(self, now: float) -> float:
        elapsed = max(now - self._counted_at, 0)
        return self._used * math.exp(-elapsed / _TIME_CONSTANT_S)
