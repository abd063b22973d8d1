"""Queue of attempts for a slot of the local target."""

import asyncio
from collections.abc import Callable

import attrs

from goldcrestwharf.admission import (
    Refusal,
    RefusalReason,
    SlotRequest,
    SlotScheduler,
)
from goldcrestwharf.proxy import _slot_metrics
from goldcrestwharf.proxy._attempt import Attempt
from goldcrestwharf.proxy._overload_log import OverloadLog

_Decision = asyncio.Future[Refusal | None]


@attrs.define(kw_only=True, eq=False)
class AttemptRun:
    """Attempt with its deadline, a monotonic time in seconds."""

    attempt: Attempt
    deadline_at: float

    def find_left(self, now: float) -> Attempt:
        """Return the attempt with the time that is left at ``now``."""
        return self.attempt.shorten(self.attempt.left + now - self.deadline_at)


class SlotQueue:
    """Asynchronous interface of the slot scheduler."""

    def __init__(
        self,
        *,
        clock: Callable[[], float],
        find_weight: Callable[[str], float],
        adapts: Callable[[], bool],
    ) -> None:
        """Create a queue for one slot.

        ``find_weight`` and ``adapts`` are those of the scheduler.
        """
        self.scheduler = SlotScheduler(
            slots=1,
            clock=clock,
            wake=self._wake,
            find_weight=find_weight,
            adapts=adapts,
        )
        self._overload_log = OverloadLog(
            scheduler=self.scheduler, adapts=adapts
        )
        self._waking: asyncio.TimerHandle | None = None
        self._clock = clock

    async def acquire(self, run: AttemptRun) -> Refusal | None:
        """Wait for a slot; ``None`` means that the attempt has one."""
        decision: _Decision = asyncio.get_running_loop().create_future()
        slot_request = self._make_slot_request(run, decision)
        refusal = self.scheduler.acquire(slot_request)
        self._overload_log.update()
        if decision.done():
            refusal = decision.result()
        is_queued = slot_request.is_waiting
        if is_queued:
            refusal = await self._wait(run, slot_request, decision)
        if refusal is not None:
            _slot_metrics.count_slot_refusal(is_queued=is_queued)
        return refusal

    def _wake(self, delay: float) -> None:
        """Let the scheduler grant again after some seconds."""
        if self._waking is not None:
            self._waking.cancel()
        self._waking = asyncio.get_running_loop().call_later(
            delay, self.scheduler.grant
        )

    async def _wait(
        self,
        run: AttemptRun,
        slot_request: SlotRequest,
        decision: _Decision,
    ) -> Refusal | None:
        has_woken = False
        try:
            has_woken = await _wait_until(decision, slot_request.expires_at)
        finally:
            self.scheduler.cancel(slot_request)
            if not has_woken and _is_granted(decision):
                self.scheduler.release(run.attempt.request_class, None)
        if has_woken:
            return decision.result()
        return Refusal(
            reason=RefusalReason.TOO_LATE,
            retry_after=self.scheduler.retry_after,
        )

    def _make_slot_request(
        self, run: AttemptRun, decision: _Decision
    ) -> SlotRequest:
        attempt = run.attempt
        now = self._clock()
        return SlotRequest(
            request_class=attempt.request_class,
            priority=attempt.priority,
            objective_at=now + min(attempt.objective_left, attempt.left),
            deadline_at=run.deadline_at,
            workspace=attempt.workspace,
            decide=lambda refusal: self._decide(attempt, decision, refusal),
        )

    def _decide(
        self,
        attempt: Attempt,
        decision: _Decision,
        refusal: Refusal | None,
    ) -> None:
        if not decision.done():
            decision.set_result(refusal)
        elif refusal is None:
            # The waiting task was cancelled.
            self.scheduler.release(attempt.request_class, None)


async def _wait_until(decision: _Decision, expires_at: float) -> bool:
    """Wait for a decision; return whether it came by then."""
    try:
        async with asyncio.timeout_at(expires_at):
            await decision
    except TimeoutError:
        return False
    return True


def _is_granted(decision: _Decision) -> bool:
    if not decision.done() or decision.cancelled():
        return False
    return decision.result() is None
