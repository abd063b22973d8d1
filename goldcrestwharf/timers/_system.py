"""Timer service on the monotonic system clock."""

import time
from contextlib import AbstractContextManager

import anyio


class SystemTimers:
    """Timers on the monotonic system clock."""

    def now(self) -> float:
        """Return the time of the monotonic clock in seconds."""
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
