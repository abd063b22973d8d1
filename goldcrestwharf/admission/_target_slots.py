"""Slots of a target and the queue in front of them."""

from collections.abc import Callable

from goldcrestwharf.admission._fair_queue import FairQueue
from goldcrestwharf.admission._rate_limit import RateLimit
from goldcrestwharf.admission._service_times import ServiceTimes
from goldcrestwharf.admission._slot_state import SlotState
from goldcrestwharf.admission._urgency_queue import UrgencyQueue


class TargetSlots:
    """Load of the slots of one target.

    ``now`` returns monotonic seconds, and ``rate`` is the limit that the
    target names.
    """

    def __init__(self, *, slots: int, clock: Callable[[], float]) -> None:
        """Start with free slots and an empty queue."""
        self.now = clock
        self.rate = RateLimit(clock=clock)
        self._state = SlotState(
            slots=slots, now=clock, rate=self.rate, last_free_at=clock()
        )
        self._urgency_queue = UrgencyQueue(state=self._state)
        self._queue: UrgencyQueue | FairQueue = self._urgency_queue

    @property
    def slots(self) -> int:
        """Return the number of requests that run at once."""
        return self._state.slots

    @property
    def in_use(self) -> int:
        """Return the number of occupied slots."""
        return self._state.in_use

    @property
    def has_free_slot(self) -> bool:
        """Return whether a new request would start at once."""
        return self._state.has_free_slot and not self._queue

    @property
    def busy(self) -> int:
        """Return the number of requests in slots and in the queue."""
        return self._state.in_use + len(self._queue)

    @property
    def service_times(self) -> ServiceTimes:
        """Return the service times of the target."""
        return self._state.service_times

    @property
    def is_overloaded(self) -> bool:
        """Return whether the slots have been occupied for more than a burst."""
        return self._state.is_overloaded

    @property
    def retry_after(self) -> float:
        """Return the seconds after which a refused request has a chance."""
        return self._queue.retry_after
