"""Slots of a target."""

from goldcrestwharf.limits._queue import FairQueue


class Slots:
    """Counter of slots in use that grants free slots in ``queue`` order."""

    def __init__(self, *, limit: int, queue: FairQueue) -> None:
        """Start with ``limit`` free slots."""
        self.limit = limit
        self.in_use = 0
        self._queue = queue

    def take(self) -> bool:
        """Take a slot unless all are in use or other requests are queued."""
        if self.in_use >= self.limit or len(self._queue):
            return False
        self.in_use += 1
        return True

    def free(self) -> None:
        """Release a slot and grant it to the next waiter."""
        self.in_use -= 1
        self.grant()

    def grant(self) -> None:
        """Admit waiters while there are free slots."""
        while len(self._queue) and self.in_use < self.limit:
            self.in_use += 1
            self._queue.pop().admit()
