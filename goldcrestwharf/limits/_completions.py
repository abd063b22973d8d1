"""Short-lived record of the requests that completed."""

from collections import OrderedDict

from goldcrestwharf.timers import Timers


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
        timers: Timers,
    ) -> None:
        """Keep up to ``capacity`` fingerprints, evicting the oldest."""
        self._capacity = capacity
        self._retention = retention
        self._timers = timers
        self._completed_at: OrderedDict[str, float] = OrderedDict()

    def add(self, fingerprint: str) -> None:
        """Record that the request completed now."""
        self._completed_at[fingerprint] = self._timers.now()
        self._completed_at.move_to_end(fingerprint)
        if len(self._completed_at) > self._capacity:
            self._completed_at.popitem(last=False)

    def contains(self, fingerprint: str) -> bool:
        """Return whether the request completed recently."""
        completed_at = self._completed_at.get(fingerprint, float('-inf'))
        return self._timers.now() - completed_at <= self._retention
