"""Scheduling of requests on the slots of one target.

If more requests arrive than the slots can serve in time, those that can't be
answered in time are refused at once, so that the admitted ones are. The order
of the queue and its refusals are those of :class:`UrgencyQueue`, or those of
:class:`FairQueue` where the configuration adapts to load.
"""

from collections.abc import Callable

from goldcrestwharf.admission._fair_queue import FairQueue
from goldcrestwharf.admission._refusal import Refusal
from goldcrestwharf.admission._slot_request import SlotRequest
from goldcrestwharf.admission._target_slots import TargetSlots

#: Least delay, in seconds, until a limit is asked again; rounded times would
#: lead to many wakes for one request.
_MIN_WAKE_S = 0.001


def _ignore(_: float) -> None:
    """Leave it to the next change of the slots to grant."""


def _weigh_equally(_: str) -> float:
    return 1


def _never() -> bool:
    return False


class SlotScheduler(TargetSlots):
    """Slots and queue of one target, and the limit that it names.

    After a change of ``rate``, :meth:`grant` is due.
    All requests to a target pass through the daemon on its VM, so the counts
    are exact.
    """

    def __init__(
        self,
        *,
        slots: int,
        clock: Callable[[], float],
        wake: Callable[[float], None] = _ignore,
        find_weight: Callable[[str], float] = _weigh_equally,
        adapts: Callable[[], bool] = _never,
    ) -> None:
        """Create a scheduler that runs ``slots`` requests at once.

        It calls ``wake`` with the seconds after which :meth:`grant` is due.
        ``find_weight`` returns the weight of a workspace, and ``adapts`` tells
        whether workspaces and the spread of service times count.
        """
        super().__init__(slots=slots, clock=clock)
        self._wake = wake
        self._adapts = adapts
        self._fair_queue = FairQueue(state=self._state, find_weight=find_weight)

    def acquire(self, request: SlotRequest) -> Refusal | None:
        """Take a slot or a place in the queue, or refuse at once.

        After ``None``, ``request.is_waiting`` says whether the request was
        queued.
        """
        self._switch_queue()
        state = self._state
        is_free = state.has_free_slot and not self._queue
        if is_free and self._queue.may_start(request) and self.rate.try_take():
            state.record_free_slot()
            state.occupy(request.request_class)
            self._queue.start(request)
            return None
        refusal = self._queue.admit(request)
        if refusal is None:
            self.grant()
        return refusal

    def cancel(self, request: SlotRequest) -> None:
        """Remove a request from the queue."""
        self._queue.remove(request)

    def release(
        self,
        request_class: str,
        service_time: float | None,
        cut_after: float | None = None,
    ) -> None:
        """Free a slot after ``service_time`` seconds of service time.

        ``None`` adds no sample, as after a failed request. ``cut_after`` is
        the time in seconds after which a request was given up.
        """
        if service_time is not None:
            self.service_times.record(request_class, service_time)
        elif cut_after is not None:
            self.service_times.record_cut(request_class, cut_after)
        self._state.vacate(request_class)
        self.grant()

    def refuse_all(self, refusal: Refusal) -> None:
        """Refuse all queued requests."""
        for request in self._queue.empty():
            request.decide(refusal)

    def resize(self, slots: int) -> None:
        """Change the number of slots; running requests keep theirs."""
        self._state.slots = slots
        self.grant()

    def grant(self) -> None:
        """Grant free slots to queued requests, as far as the limit allows."""
        while self._state.has_free_slot:
            request = self._queue.select()
            if request is None:
                break
            if not self.rate.try_take():
                self._wake(max(self.rate.find_wait(0), _MIN_WAKE_S))
                return
            self._queue.start(request)
            self._state.occupy(request.request_class)
            request.decide(None)
        self._state.record_free_slot()

    def _switch_queue(self) -> None:
        """Move the waiting requests if the rules have changed."""
        queue = self._fair_queue if self._adapts() else self._urgency_queue
        if queue is self._queue:
            return
        waiting = self._queue.empty()
        self._queue = queue
        for request in waiting:
            queue.add(request)
