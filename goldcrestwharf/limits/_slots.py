"""Count a target's slots and hand them to those that wait."""

from goldcrestwharf.limits._queue import FairQueue


class Slots:
    """Hand free slots to the waiters of ``queue`` in its order."""

    def __init__(self, *, limit: int, queue: FairQueue) -> None:
        """Start with ``limit`` free slots."""
        self.limit = limit
        self.in_use = 0
        self._queue = queue

    def take(self) -> bool:
        """Take a slot unless all are in use or others wait for one."""
        if self.in_use >= self.limit or len(self._queue):
            return False
        self.in_use += 1
        return True

    def free(self) -> None:
        """Give back a slot."""
        self.in_use -= 1
        self.grant()

    def grant(self) -> None:
        """Admit waiters as long as there are free slots."""
        while len(self._queue) and self.in_use < self.limit:
            self.in_use += 1
            self._queue.pop().admit()
