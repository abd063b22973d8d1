"""Run the timer service on the event loop's monotonic clock."""

import time
from contextlib import AbstractContextManager

import anyio


class SystemTimers:
    """Tell the real, monotonic time."""

    def now(self) -> float:
        """Return the seconds of the monotonic clock."""
        return time.monotonic()

    async def sleep(self, seconds: float) -> None:
        """Suspend the calling task for ``seconds``."""
        await anyio.sleep(seconds)

    def limit(
        self,
        seconds: float,
    ) -> AbstractContextManager[anyio.CancelScope]:
        """Cancel the enclosed block after ``seconds``."""
        return anyio.move_on_after(seconds)
