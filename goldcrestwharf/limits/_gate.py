"""Concurrency limiter of one target."""

from goldcrestwharf.limits._admission_check import AdmissionCheck
from goldcrestwharf.limits._load import TargetLoad
from goldcrestwharf.limits._queue import FairQueue, Waiter
from goldcrestwharf.limits._refusal import Refusal, RefusalReason
from goldcrestwharf.limits._service_times import ServiceTimes
from goldcrestwharf.limits._slots import Slots
from goldcrestwharf.timers import Timers


class SlotGate:
    """Concurrency limiter of one target, with a short queue.

    Only the daemon on the target's VM has a gate for it, so the counts are
    exact. Each admission is paired with one release; there is no task switch
    between the admission and the return of :meth:`admit`.
    """

    def __init__(self, *, slots: int, queue: int, timers: Timers) -> None:
        """Admit ``slots`` requests at once and queue up to ``queue`` more."""
        self._queue = FairQueue(capacity=queue)
        self._slots = Slots(limit=slots, queue=self._queue)
        self._service_times = ServiceTimes()
        self._admission_check = AdmissionCheck(
            queue=self._queue,
            slots=self._slots,
            service_times=self._service_times,
        )
        self._timers = timers

    async def admit(self, *, remaining: float, caller: str) -> Refusal | None:
        """Wait for a slot; return ``None`` once the request holds one.

        ``remaining`` is the time left in seconds. A request that is expected
        to wait longer is refused at once; one that is cancelled while it
        waits leaves the queue.
        """
        refusal = self._admission_check.check(remaining)
        if refusal is not None or self._slots.take():
            return refusal
        refusal = self._admission_check.check_queue(remaining, caller)
        if refusal is not None:
            return refusal
        return await self._wait(Waiter(caller=caller), remaining)

    def release(self, *, service_time: float) -> None:
        """Release a slot after ``service_time`` seconds of use."""
        self._service_times.add(service_time)
        self._slots.free()

    def resize(self, slots: int, *, queue: int | None = None) -> None:
        """Change the slots, and the queue capacity unless it is ``None``.

        Running and queued requests are not affected.
        """
        if queue is not None:
            self._queue.capacity = queue
        if slots != self._slots.limit:
            self._slots.limit = slots
            self._slots.grant()

    def close(self) -> None:
        """Refuse all queued and future requests as not run."""
        self._admission_check.is_closed = True
        while len(self._queue):
            refusal = self._admission_check.refuse(RefusalReason.LEAVING)
            self._queue.pop().refuse(refusal)

    def load(self) -> TargetLoad:
        """Return the current load."""
        return TargetLoad(
            in_use=self._slots.in_use,
            queued=len(self._queue),
            slots=self._slots.limit,
        )

    async def _wait(self, waiter: Waiter, remaining: float) -> Refusal | None:
        self._queue.push(waiter)
        try:
            await _await_decision(waiter, self._timers, remaining)
        finally:
            self._queue.discard(waiter)
            if waiter.is_admitted and not waiter.has_resumed:
                self._slots.free()
        if waiter.is_admitted:
            return None
        if waiter.refusal is not None:
            return waiter.refusal
        return self._admission_check.refuse(RefusalReason.DEADLINE_SPENT)


async def _await_decision(
    waiter: Waiter,
    timers: Timers,
    remaining: float,
) -> None:
    with timers.limit(remaining):
        await waiter.settled.wait()
    waiter.has_resumed = True
