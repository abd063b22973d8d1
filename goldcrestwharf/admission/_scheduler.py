"""Scheduling of requests on the slots of one target.

If more requests arrive than the slots can serve in time, those that can't be
answered in time are refused at once, so that the admitted ones are. Short and
urgent requests go first.
"""

import heapq
import itertools
from collections.abc import Callable

import attrs

from goldcrestwharf.admission._rate_limit import RateLimit
from goldcrestwharf.admission._refusal import Refusal, RefusalReason
from goldcrestwharf.admission._service_times import ServiceTimes

#: Seconds for which all slots may be occupied before the target counts as
#: overloaded. Shorter bursts are queued. A standing queue makes every answer
#: late, so under overload only requests that can still be answered in time
#: are admitted (as in CoDel, RFC 8289).
MAX_BURST_S = 0.5

#: Fraction of the time between objective and deadline that the expected answer
#: may use up during a burst.
_BURST_LATENESS_FRACTION = 0.4

#: Fraction of the time to the objective that the expected answer may take under
#: overload; the rest allows for service times above their mean.
_OVERLOAD_OBJECTIVE_FRACTION = 0.75

#: Least delay, in seconds, until a limit is asked again; rounded times would
#: lead to many wakes for one request.
_MIN_WAKE_S = 0.001

#: Fraction of the mean service time below which a request class is short.
_SHORT_CLASS_FRACTION = 0.6

#: Fraction of its mean service time that a queued request must have left to its
#: deadline when it gets a slot.
_MIN_REMAINING_FRACTION = 0.5


@attrs.define(kw_only=True, eq=False)
class SlotRequest:
    """Request for a slot.

    ``objective_at`` and ``deadline_at`` are monotonic times in seconds. A
    lower ``priority`` is more urgent. ``decide`` is called once a queued
    request is granted a slot (``None``) or refused.
    """

    request_class: str
    priority: int
    objective_at: float
    deadline_at: float
    decide: Callable[[Refusal | None], None]
    is_waiting: bool = False


#: Sort key of the queue: short requests first, then by priority. Requests of
#: the same rank are ordered by their objective.
_Rank = tuple[bool, int]
_QueueEntry = tuple[_Rank, float, int, SlotRequest]


def _ignore(_: float) -> None:
    """Leave it to the next change of the slots to grant."""


class SlotScheduler:
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
    ) -> None:
        """Create a scheduler that runs ``slots`` requests at once.

        It calls ``wake`` with the seconds after which :meth:`grant` is due.
        """
        self.slots = slots
        self.in_use = 0
        self.service_times = ServiceTimes()
        self.now = clock
        self.rate = RateLimit(clock=clock)
        self._wake = wake
        self._last_free_at = clock()
        self._sequence = itertools.count()
        self._queue: list[_QueueEntry] = []
        self._waiting = 0

    @property
    def busy(self) -> int:
        """Return the number of requests in slots and in the queue."""
        return self.in_use + self._waiting

    def acquire(self, request: SlotRequest) -> Refusal | None:
        """Take a slot or a place in the queue, or refuse at once.

        After ``None``, ``request.is_waiting`` says whether the request was
        queued.
        """
        is_free = self.in_use < self.slots
        if is_free and not self._waiting and self.rate.try_take():
            self._last_free_at = self.now()
            self.in_use += 1
            return None
        rank = _find_rank(request, self.service_times)
        wait = self._find_wait(rank)
        expected = self.service_times.mean_of(request.request_class)
        if self.now() + wait + expected > self._find_latest(request, rank):
            return Refusal(reason=RefusalReason.OVERLOADED, retry_after=wait)
        request.is_waiting = True
        self._waiting += 1
        entry = (rank, request.objective_at, next(self._sequence), request)
        heapq.heappush(self._queue, entry)
        self.grant()
        return None

    def cancel(self, request: SlotRequest) -> None:
        """Remove a request from the queue."""
        if request.is_waiting:
            request.is_waiting = False
            self._waiting -= 1

    def release(self, request_class: str, service_time: float | None) -> None:
        """Free a slot after ``service_time`` seconds of service time.

        ``None`` adds no sample, as after a failed request.
        """
        if service_time is not None:
            self.service_times.record(request_class, service_time)
        self.in_use -= 1
        self.grant()

    def refuse_all(self, refusal: Refusal) -> None:
        """Refuse all queued requests."""
        while self._queue:
            request = self._queue.pop()[-1]
            if request.is_waiting:
                self.cancel(request)
                request.decide(refusal)

    def resize(self, slots: int) -> None:
        """Change the number of slots; running requests keep theirs."""
        self.slots = slots
        self.grant()

    def grant(self) -> None:
        """Grant free slots to queued requests, as far as the limit allows."""
        while self._queue and self.in_use < self.slots:
            if _drop_next(self, self._queue):
                continue
            if not self.rate.try_take():
                self._wake(max(self.rate.find_wait(0), _MIN_WAKE_S))
                return
            request = heapq.heappop(self._queue)[-1]
            self.cancel(request)
            self.in_use += 1
            request.decide(None)
        if self.in_use < self.slots:
            self._last_free_at = self.now()

    def _find_wait(self, rank: _Rank) -> float:
        """Return the expected wait of a new request, in seconds."""
        ahead = [
            self.service_times.mean_of(entry[-1].request_class)
            for entry in self._queue
            if entry[0] <= rank and entry[-1].is_waiting
        ]
        wait = self.rate.find_wait(len(ahead))
        if self.in_use < self.slots:
            return wait
        slot_time = sum(ahead) + self.service_times.mean
        return max(wait, slot_time / max(self.slots, 1))

    def _find_latest(self, request: SlotRequest, rank: _Rank) -> float:
        """Return the latest expected answer at which to queue a request."""
        if not rank[0]:
            return request.deadline_at
        now = self.now()
        if now - self._last_free_at > MAX_BURST_S:
            return now + (
                (request.objective_at - now) * _OVERLOAD_OBJECTIVE_FRACTION
            )
        late = max(request.deadline_at - request.objective_at, 0)
        return request.objective_at + late * _BURST_LATENESS_FRACTION


def _drop_next(scheduler: SlotScheduler, queue: list[_QueueEntry]) -> bool:
    """Remove the next request if it was cancelled or is too late."""
    request = queue[0][-1]
    min_remaining = (
        scheduler.service_times.mean_of(request.request_class)
        * _MIN_REMAINING_FRACTION
    )
    is_late = scheduler.now() + min_remaining > request.deadline_at
    if request.is_waiting and not is_late:
        return False
    heapq.heappop(queue)
    if request.is_waiting:
        scheduler.cancel(request)
        request.decide(Refusal(reason=RefusalReason.TOO_LATE))
    return True


def _find_rank(request: SlotRequest, service_times: ServiceTimes) -> _Rank:
    """Rank short requests first, whatever their priority.

    They occupy little slot time, and the longer request that makes such a
    call occupies a slot of another target until the call is answered.
    """
    expected = service_times.mean_of(request.request_class)
    return (
        expected >= service_times.mean * _SHORT_CLASS_FRACTION,
        request.priority,
    )
