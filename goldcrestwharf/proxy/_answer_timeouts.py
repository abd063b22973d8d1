"""Timeouts of the requests and attempts in progress."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager


class AnswerTimeouts:
    """Times at which requests and attempts end in any case.

    ``has_ended`` says that all have been ended, at the end of a shutdown.
    """

    def __init__(self) -> None:
        """Start without requests."""
        self.has_ended = False
        self._timeouts: set[asyncio.Timeout] = set()

    @asynccontextmanager
    async def limit(self, due_at: float | None) -> AsyncIterator[None]:
        """Raise :class:`TimeoutError` at a monotonic time, in seconds.

        ``None`` stands for no time other than that of :meth:`end_all`.
        """
        async with asyncio.timeout_at(due_at) as timeout:
            self._timeouts.add(timeout)
            try:
                yield
            finally:
                self._timeouts.discard(timeout)

    def end_all(self) -> None:
        """Let all that is in progress time out now."""
        self.has_ended = True
        now = asyncio.get_running_loop().time()
        for timeout in self._timeouts:
            if not timeout.expired():
                timeout.reschedule(now)
