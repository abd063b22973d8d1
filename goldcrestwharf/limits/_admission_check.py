"""Admission checks for the slots of one target."""

from goldcrestwharf.limits._metrics import count_refusal
from goldcrestwharf.limits._queue import FairQueue
from goldcrestwharf.limits._refusal import Refusal, RefusalReason
from goldcrestwharf.limits._service_times import ServiceTimes
from goldcrestwharf.limits._slots import Slots


class AdmissionCheck:
    """Admission checks of one target: deadline, queue wait and fair sharing."""

    def __init__(
        self,
        *,
        queue: FairQueue,
        slots: Slots,
        service_times: ServiceTimes,
    ) -> None:
        """Check against the queue, the slots and the service times."""
        self.is_closed = False
        self._queue = queue
        self._slots = slots
        self._service_times = service_times

    def check(self, remaining: float) -> Refusal | None:
        """Return why a request can't run even if a slot is free."""
        if self.is_closed:
            return self.refuse(RefusalReason.LEAVING)
        if remaining <= 0:
            return self.refuse(RefusalReason.DEADLINE_SPENT)
        return None

    def check_queue(self, remaining: float, caller: str) -> Refusal | None:
        """Return why a request may not queue, ``None`` if it may.

        If the queue is full, the newest request of the caller with most
        queued requests is evicted in favour of a caller with fewer.
        """
        ahead = self._queue.count_ahead(caller)
        if (
            self._service_times.expected_wait(ahead, self._slots.limit)
            > remaining
        ):
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
        """Count a refusal that asks to retry once the queue is empty."""
        count_refusal(reason)
        wait = self._service_times.expected_wait(
            len(self._queue), self._slots.limit
        )
        return Refusal(reason=reason, retry_after=wait)
