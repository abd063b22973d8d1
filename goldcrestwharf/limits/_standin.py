"""Bound slots, queues and retries simply, until the rules land."""

import anyio
import attrs

_PERCENT = 100
_MIN_RETRIES = 3


@attrs.frozen(kw_only=True)
class Deadline:
    """Hold the time at which a request's answer is of no more use."""

    expires_at: float

    def remaining(self, now: float) -> float:
        """Return the seconds left, zero once it has passed."""
        return max(self.expires_at - now, 0)


class SlotGate:
    """Admit up to ``slots`` requests and let ``queue`` more wait."""

    def __init__(self, *, slots: int, queue: int) -> None:
        """Start with all slots free."""
        self.slots = slots
        self._queue = queue
        self._free = anyio.Semaphore(slots)

    @property
    def in_use(self) -> int:
        """Return the slots in use."""
        return self.slots - self._free.value

    @property
    def queued(self) -> int:
        """Return the requests that wait."""
        return self._free.statistics().tasks_waiting

    async def admit(self) -> bool:
        """Take a slot; return false at once if the queue is full."""
        if self._free.value == 0 and self.queued >= self._queue:
            return False
        await self._free.acquire()
        return True

    def release(self) -> None:
        """Free a slot."""
        self._free.release()


class RetryBudget:
    """Allow retries as a share of the first tries."""

    def __init__(self, *, percent: int) -> None:
        """Allow ``percent`` retries for each hundred first tries."""
        self._share = percent / _PERCENT
        self._tokens: float = _MIN_RETRIES if percent else 0

    def note_first_try(self) -> None:
        """Earn the share of a retry that a first try allows."""
        self._tokens = min(self._tokens + self._share, _PERCENT)

    def spend(self) -> bool:
        """Take one retry out of the budget, if there is one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
