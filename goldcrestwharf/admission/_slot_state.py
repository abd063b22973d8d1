"""State of the slots of one target, shared by its scheduler and queues."""

from collections import Counter
from collections.abc import Callable

import attrs

from goldcrestwharf.admission._rate_limit import RateLimit
from goldcrestwharf.admission._service_times import ServiceTimes

#: Seconds for which all slots may be occupied before the target counts as
#: overloaded. Shorter bursts are queued. A standing queue makes every answer
#: late, so under overload only requests that can still be answered in time
#: are admitted (as in CoDel, RFC 8289).
MAX_BURST_S = 0.5


@attrs.define(kw_only=True, eq=False)
class SlotState:
    """Slots of a target; ``last_free_at`` is when one was free last.

    ``now`` returns monotonic seconds. ``in_use`` counts the occupied slots,
    and ``running`` counts them by request class.
    """

    slots: int
    now: Callable[[], float]
    rate: RateLimit
    last_free_at: float
    service_times: ServiceTimes = attrs.field(factory=ServiceTimes)
    in_use: int = 0
    running: Counter[str] = attrs.field(factory=Counter)

    @property
    def has_free_slot(self) -> bool:
        """Return whether a request can start now."""
        return self.in_use < self.slots

    @property
    def is_overloaded(self) -> bool:
        """Return whether the slots have been occupied for more than a burst."""
        return self.now() - self.last_free_at > MAX_BURST_S

    @property
    def turnover(self) -> float:
        """Return the expected seconds until the next slot is freed."""
        if self.has_free_slot:
            return 0
        slot_time = sum(
            self.service_times.mean_of(request_class) * count
            for request_class, count in self.running.items()
        )
        return slot_time / max(self.in_use * self.in_use, 1)

    def share(self, slot_time: float) -> float:
        """Return the seconds in which all slots do so much work."""
        return slot_time / max(self.slots, 1)

    def occupy(self, request_class: str) -> None:
        """Count a request that starts."""
        self.in_use += 1
        self.running[request_class] += 1

    def vacate(self, request_class: str) -> None:
        """Count the end of a request."""
        self.in_use -= 1
        self.running[request_class] -= 1
        if self.running[request_class] <= 0:
            self.running.pop(request_class)

    def record_free_slot(self) -> None:
        """Record the time if a slot is free."""
        if self.has_free_slot:
            self.last_free_at = self.now()
