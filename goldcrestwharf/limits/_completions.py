"""Remember for a short time which requests ran to their end."""

from collections import OrderedDict

from goldcrestwharf.timers import Timers


class RecentCompletions:
    """Hold fingerprints for ``memory`` seconds, the oldest goes first.

    A popular request is in flight in many deaths that it has nothing to do
    with; that it completes elsewhere at the same time clears it.
    """

    def __init__(
        self,
        *,
        capacity: int,
        memory: float,
        timers: Timers,
    ) -> None:
        """Hold up to ``capacity`` fingerprints."""
        self._capacity = capacity
        self._memory = memory
        self._timers = timers
        self._completed_at: OrderedDict[str, float] = OrderedDict()

    def note(self, fingerprint: str) -> None:
        """Record that the request has just completed."""
        self._completed_at[fingerprint] = self._timers.now()
        self._completed_at.move_to_end(fingerprint)
        if len(self._completed_at) > self._capacity:
            self._completed_at.popitem(last=False)

    def has(self, fingerprint: str) -> bool:
        """Tell whether the request completed lately."""
        completed_at = self._completed_at.get(fingerprint, float('-inf'))
        return self._timers.now() - completed_at <= self._memory
