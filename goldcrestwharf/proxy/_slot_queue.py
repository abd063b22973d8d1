"""Let orders wait for a slot of the own target."""

import asyncio
from collections.abc import Callable

import attrs

from goldcrestwharf.admission import (
    Refusal,
    RefusalReason,
    SlotRequest,
    SlotScheduler,
)
from goldcrestwharf.proxy._order import RunOrder

_Decision = asyncio.Future[Refusal | None]


@attrs.define(kw_only=True, eq=False)
class OrderRun:
    """Hold an order and the monotonic time, in seconds, of its end."""

    order: RunOrder
    deadline_at: float


class SlotQueue:
    """Turn the decisions of the scheduler into waits of tasks."""

    def __init__(self, *, clock: Callable[[], float]) -> None:
        """Start with one slot."""
        self.scheduler = SlotScheduler(slots=1, clock=clock)
        self._clock = clock

    async def take(self, run: OrderRun) -> Refusal | None:
        """Wait for a slot; ``None`` means that the order holds one."""
        decision: _Decision = asyncio.get_running_loop().create_future()
        slot_request = self._make_ticket(run, decision)
        refusal = self.scheduler.acquire(slot_request)
        if refusal is None and slot_request.is_waiting:
            return await self._wait(run, slot_request, decision)
        return refusal

    async def _wait(
        self,
        run: OrderRun,
        slot_request: SlotRequest,
        decision: _Decision,
    ) -> Refusal | None:
        has_woken = False
        try:
            has_woken = await _settled(decision, run.deadline_at)
        finally:
            self.scheduler.cancel(slot_request)
            if not has_woken and _is_granted(decision):
                self.scheduler.release(run.order.request_class, None)
        if has_woken:
            return decision.result()
        return Refusal(reason=RefusalReason.TOO_LATE)

    def _make_ticket(self, run: OrderRun, decision: _Decision) -> SlotRequest:
        order = run.order
        now = self._clock()
        return SlotRequest(
            request_class=order.request_class,
            priority=order.priority,
            objective_at=now + min(order.objective_left, order.left),
            deadline_at=run.deadline_at,
            decide=lambda refusal: self._decide(order, decision, refusal),
        )

    def _decide(
        self,
        order: RunOrder,
        decision: _Decision,
        refusal: Refusal | None,
    ) -> None:
        if not decision.done():
            decision.set_result(refusal)
        elif refusal is None:
            # Nobody waits for the slot any more.
            self.scheduler.release(order.request_class, None)


async def _settled(decision: _Decision, deadline_at: float) -> bool:
    """Wait for a decision; tell whether it came by the deadline."""
    try:
        async with asyncio.timeout_at(deadline_at):
            await decision
    except TimeoutError:
        return False
    return True


def _is_granted(decision: _Decision) -> bool:
    if not decision.done() or decision.cancelled():
        return False
    return decision.result() is None
