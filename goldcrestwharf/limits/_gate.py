"""Guard the slots of one target."""

from goldcrestwharf.limits._entrance import Entrance
from goldcrestwharf.limits._holds import HoldTimes
from goldcrestwharf.limits._load import TargetLoad
from goldcrestwharf.limits._queue import FairQueue, Waiter
from goldcrestwharf.limits._refusal import Refusal, RefusalReason
from goldcrestwharf.limits._slots import Slots
from goldcrestwharf.timers import Timers


class SlotGate:
    """Admit requests to the slots of one target, with a short queue.

    The daemon on the target's own VM is the only one that holds this gate,
    so its counts are exact. Each admission is paired with one release; no
    task switch lies between the admission and the return of :meth:`admit`.
    """

    def __init__(self, *, slots: int, queue: int, timers: Timers) -> None:
        """Admit ``slots`` requests at once and let ``queue`` more wait."""
        self._queue = FairQueue(capacity=queue)
        self._slots = Slots(limit=slots, queue=self._queue)
        self._holds = HoldTimes()
        self._entrance = Entrance(
            queue=self._queue,
            slots=self._slots,
            holds=self._holds,
        )
        self._timers = timers

    async def admit(self, *, remaining: float, caller: str) -> Refusal | None:
        """Wait for a slot; return ``None`` once the request holds one.

        ``remaining`` is the time left in seconds. A request that would
        wait longer than that is refused at once, and one that is cancelled
        while it waits gives up its place.
        """
        refusal = self._entrance.check(remaining)
        if refusal is not None or self._slots.take():
            return refusal
        refusal = self._entrance.check_queue(remaining, caller)
        if refusal is not None:
            return refusal
        return await self._wait(Waiter(caller=caller), remaining)

    def release(self, *, held_for: float) -> None:
        """Give back a slot that was held for ``held_for`` seconds."""
        self._holds.note(held_for)
        self._slots.free()

    def resize(self, slots: int, *, queue: int | None = None) -> None:
        """Change the slots, and the places that wait unless ``None``.

        No slot in use and no place taken is taken away.
        """
        if queue is not None:
            self._queue.capacity = queue
        if slots != self._slots.limit:
            self._slots.limit = slots
            self._slots.grant()

    def close(self) -> None:
        """Refuse whoever waits or comes from now on, as not run."""
        self._entrance.is_closed = True
        while len(self._queue):
            refusal = self._entrance.refuse(RefusalReason.LEAVING)
            self._queue.pop().refuse(refusal)

    def load(self) -> TargetLoad:
        """Return the current counts."""
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
            if waiter.is_admitted and not waiter.has_woken:
                self._slots.free()
        if waiter.is_admitted:
            return None
        if waiter.refusal is not None:
            return waiter.refusal
        return self._entrance.refuse(RefusalReason.DEADLINE_SPENT)


async def _await_decision(
    waiter: Waiter,
    timers: Timers,
    remaining: float,
) -> None:
    with timers.limit(remaining):
        await waiter.settled.wait()
    waiter.has_woken = True
