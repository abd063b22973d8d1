"""Read that waits at the store, and that may be given up."""

import asyncio
from collections.abc import Awaitable, Callable

from goldcrestwharf.platform._store_records import Page


class WaitingRead:
    """At most one read in progress; ``record_wait`` is told of its changes."""

    def __init__(self, *, record_wait: Callable[[bool], None]) -> None:
        """Start without a read."""
        self._record_wait = record_wait
        self._timeout: asyncio.Timeout | None = None
        self._began_at = float('-inf')

    async def run(self, read: Awaitable[Page]) -> Page | None:
        """Return the page of ``read``, ``None`` if it is given up."""
        try:
            async with asyncio.timeout(None) as timeout:
                self._set_timeout(timeout)
                return await read
        except TimeoutError:
            return None
        finally:
            self._set_timeout(None)

    def give_up_within(self, seconds: float) -> bool:
        """Give up the read after ``seconds``, unless it has ended then.

        Returns whether that is a new limit.
        """
        timeout = self._timeout
        if timeout is None or timeout.expired():
            return False
        due = asyncio.get_running_loop().time() + seconds
        earlier = timeout.when()
        if earlier is not None and earlier <= due:
            return False
        timeout.reschedule(due)
        return True

    def limit_age(self, seconds: float) -> None:
        """Give up the read ``seconds`` after it began, or now if later."""
        age = asyncio.get_running_loop().time() - self._began_at
        self.give_up_within(max(seconds - age, 0))

    def _set_timeout(self, timeout: asyncio.Timeout | None) -> None:
        self._timeout = timeout
        self._began_at = asyncio.get_running_loop().time()
        self._record_wait(timeout is not None)
