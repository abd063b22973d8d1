"""Pace of large bodies on a link."""

import math
from collections.abc import Callable

#: Maximum size of a piece of a body. At 5 Mbit/s it occupies the link for
#: 6.6 ms.
PIECE_BYTES = 4096

#: Fraction of the link's rate that bodies may use; the rest is for other
#: messages. The window, not this fraction, bounds how long these wait.
_BODY_FRACTION = 0.95

#: Seconds of the link's rate that may be on their way at once. A small message
#: waits behind this much at most.
_WINDOW_S = 0.024

#: Window of a link of unknown rate, in bytes.
_UNKNOWN_RATE_WINDOW = 262_144


class LinkPace:
    """Token bucket with the rate that bodies may use on a link.

    ``rate`` is in bytes per second and infinite if the link's is unknown.
    ``window`` is the number of bytes that may be on their way at once.
    """

    def __init__(self, *, link_rate: float, clock: Callable[[], float]) -> None:
        """Pace a link of ``link_rate`` bytes per second."""
        self.rate = link_rate * _BODY_FRACTION
        self.window: float = _UNKNOWN_RATE_WINDOW
        if math.isfinite(link_rate):
            self.window = max(link_rate * _WINDOW_S, PIECE_BYTES)
        self._clock = clock
        self._tokens = self.window
        self._counted_at = clock()

    def find_wait(self, size: int) -> float:
        """Return the seconds until ``size`` bytes may be sent."""
        now = self._clock()
        if math.isinf(self.rate):
            return 0
        earned = (now - self._counted_at) * self.rate
        self._tokens = min(self._tokens + earned, self.window)
        self._counted_at = now
        return max(size - self._tokens, 0) / self.rate

    def take(self, size: int) -> None:
        """Count ``size`` bytes."""
        self._tokens -= size

    def find_time(self, size: float) -> float:
        """Return the seconds that ``size`` bytes take."""
        return size / self.rate
