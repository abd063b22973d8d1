"""Queue requests for a slot, fairly among callers."""

from collections import OrderedDict, deque

import anyio

from goldcrestwharf.limits._refusal import Refusal


class Waiter:
    """Wait for a decision: a slot or a refusal.

    ``has_woken`` tells that the waiting task learned of the decision.
    """

    def __init__(self, *, caller: str) -> None:
        """Wait on behalf of ``caller``."""
        self.caller = caller
        self.settled = anyio.Event()
        self.is_admitted = False
        self.has_woken = False
        self.refusal: Refusal | None = None

    def admit(self) -> None:
        """Grant the slot."""
        self.is_admitted = True
        self.settled.set()

    def refuse(self, refusal: Refusal) -> None:
        """End the wait without a slot."""
        self.refusal = refusal
        self.settled.set()


class FairQueue:
    """Serve callers in turn, and the requests of one caller in order."""

    def __init__(self, *, capacity: int) -> None:
        """Be full with ``capacity`` waiters."""
        self.capacity = capacity
        self._by_caller: OrderedDict[str, deque[Waiter]] = OrderedDict()
        self._size = 0

    def __len__(self) -> int:
        """Return the number of waiters."""
        return self._size

    def count_ahead(self, caller: str) -> int:
        """Return how many waiters go before a new one of ``caller``."""
        own = len(self._by_caller.get(caller, ()))
        others = (
            min(len(waiters), own + 1)
            for name, waiters in self._by_caller.items()
            if name != caller
        )
        return own + sum(others)

    def push(self, waiter: Waiter) -> None:
        """Add a waiter behind the others of its caller."""
        self._by_caller.setdefault(waiter.caller, deque()).append(waiter)
        self._size += 1

    def pop(self) -> Waiter:
        """Remove and return the next waiter; its caller's turn is over."""
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
        """Remove the newest waiter of the caller that holds most places.

        Returns ``None`` if that would leave it with fewer places than
        ``caller`` then has.
        """
        if not self._by_caller:
            return None
        noisiest = max(self._by_caller.values(), key=len)
        places = len(self._by_caller.get(caller, ()))
        if len(noisiest) <= places + 1:
            return None
        waiter = noisiest[-1]
        self.discard(waiter)
        return waiter
