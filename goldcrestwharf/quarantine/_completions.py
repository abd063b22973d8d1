"""Short-lived record of the requests that completed."""

from collections import OrderedDict
from collections.abc import Callable


class RecentCompletions:
    """Fingerprints of requests completed in the last ``retention`` seconds.

    A frequent request is in flight in many target deaths that it didn't
    cause. A completion elsewhere at about the same time clears it.
    """

    def __init__(
        self,
        *,
        capacity: int,
        retention: float,
        clock: Callable[[], float],
    ) -> None:
        """Keep up to ``capacity`` fingerprints, evicting the oldest."""
        self._capacity = capacity
        self._retention = retention
        self._clock = clock
        self._completed_at: OrderedDict[str, float] = OrderedDict()

    def add(self, fingerprint: str) -> None:
        """Record that the request completed now."""
        self._completed_at[fingerprint] = self._clock()
        self._completed_at.move_to_end(fingerprint)
        if len(self._completed_at) > self._capacity:
            self._completed_at.popitem(last=False)

    def contains(self, fingerprint: str) -> bool:
        """Return whether the request completed recently."""
        completed_at = self._completed_at.get(fingerprint, float('-inf'))
        return self._clock() - completed_at <= self._retention
