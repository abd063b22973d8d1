"""Decide who may wait for a slot of a target."""

from goldcrestwharf.limits._holds import HoldTimes
from goldcrestwharf.limits._metrics import count_refusal
from goldcrestwharf.limits._queue import FairQueue
from goldcrestwharf.limits._refusal import Refusal, RefusalReason
from goldcrestwharf.limits._slots import Slots


class Entrance:
    """Refuse requests that can't be served in time or in fairness."""

    def __init__(
        self,
        *,
        queue: FairQueue,
        slots: Slots,
        holds: HoldTimes,
    ) -> None:
        """Judge by the queue, the slots and their hold times."""
        self.is_closed = False
        self._queue = queue
        self._slots = slots
        self._holds = holds

    def check(self, remaining: float) -> Refusal | None:
        """Return why a request can't run, however many slots are free."""
        if self.is_closed:
            return self.refuse(RefusalReason.LEAVING)
        if remaining <= 0:
            return self.refuse(RefusalReason.DEADLINE_SPENT)
        return None

    def check_queue(self, remaining: float, caller: str) -> Refusal | None:
        """Return why a request may not wait; make room for it if it may.

        A caller that fills the queue gives up its newest place to one that
        has fewer.
        """
        ahead = self._queue.count_ahead(caller)
        if self._holds.expect_wait(ahead, self._slots.limit) > remaining:
            return self.refuse(RefusalReason.EXPECTED_WAIT)
        if len(self._queue) < self._queue.capacity:
            return None
        evicted = self._queue.evict_for(caller)
        refusal = self.refuse(RefusalReason.QUEUE_FULL)
        if evicted is None:
            return refusal
        evicted.refuse(refusal)
        return None

    def refuse(self, reason: RefusalReason) -> Refusal:
        """Return a refusal that asks to come back when the queue is empty."""
        count_refusal(reason)
        wait = self._holds.expect_wait(len(self._queue), self._slots.limit)
        return Refusal(reason=reason, retry_after=wait)
