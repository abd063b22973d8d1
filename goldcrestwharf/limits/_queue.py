"""Queue for slots that is fair among callers."""

from collections import OrderedDict, deque

import anyio

from goldcrestwharf.limits._refusal import Refusal


class Waiter:
    """A queued request that waits for a slot or a refusal.

    ``has_resumed`` is set once the waiting task has resumed.
    """

    def __init__(self, *, caller: str) -> None:
        """Create a waiter for a request of ``caller``."""
        self.caller = caller
        self.settled = anyio.Event()
        self.is_admitted = False
        self.has_resumed = False
        self.refusal: Refusal | None = None

    def admit(self) -> None:
        """Grant a slot to the request."""
        self.is_admitted = True
        self.settled.set()

    def refuse(self, refusal: Refusal) -> None:
        """End the wait with a refusal."""
        self.refusal = refusal
        self.settled.set()


class FairQueue:
    """Round-robin queue over callers, first in, first out per caller."""

    def __init__(self, *, capacity: int) -> None:
        """Hold up to ``capacity`` waiters."""
        self.capacity = capacity
        self._by_caller: OrderedDict[str, deque[Waiter]] = OrderedDict()
        self._size = 0

    def __len__(self) -> int:
        """Return the number of waiters."""
        return self._size

    def count_ahead(self, caller: str) -> int:
        """Return how many waiters are served before a new one of ``caller``."""
        queued = len(self._by_caller.get(caller, ()))
        others = (
            min(len(waiters), queued + 1)
            for name, waiters in self._by_caller.items()
            if name != caller
        )
        return queued + sum(others)

    def push(self, waiter: Waiter) -> None:
        """Add a waiter after the others of its caller."""
        self._by_caller.setdefault(waiter.caller, deque()).append(waiter)
        self._size += 1

    def pop(self) -> Waiter:
        """Remove and return the next waiter; its caller goes to the back."""
        caller = next(iter(self._by_caller))
        waiter = self._by_caller[caller][0]
        self._by_caller.move_to_end(caller)
        self.discard(waiter)
        return waiter

    def discard(self, waiter: Waiter) -> None:
        """Remove a waiter if it is still queued."""
        waiters = self._by_caller.get(waiter.caller, deque())
        if waiter not in waiters:
            return
        waiters.remove(waiter)
        self._size -= 1
        if not waiters:
            self._by_caller.pop(waiter.caller)

    def evict_for(self, caller: str) -> Waiter | None:
        """Remove the newest waiter of the caller with most waiters.

        Returns ``None`` if that caller would then have fewer waiters than
        ``caller`` with its new one.
        """
        if not self._by_caller:
            return None
        longest = max(self._by_caller.values(), key=len)
        queued = len(self._by_caller.get(caller, ()))
        if len(longest) <= queued + 1:
            return None
        waiter = longest[-1]
        self.discard(waiter)
        return waiter
