"""Run the timer service by hand for hundreds of tasks."""

import asyncio
import heapq

from goldcrestwharf.timers import ManualTimers


class SteppedTimers(ManualTimers):
    """Advance at a cost that suits many daemons.

    The event loop runs until it has nothing left to do, which takes fewer
    turns than a fixed number for most events and enough for all others.
    """

    async def advance(self, seconds: float) -> None:
        end = self._now + seconds
        await settle()
        while self._pending and self._pending[0].due <= end:
            earliest = heapq.heappop(self._pending)
            self._now = max(self._now, earliest.due)
            earliest.wake()
            await settle()
        self._now = end


async def settle() -> None:
    """Return once no other task of the event loop is ready to run."""
    loop = asyncio.get_running_loop()
    while True:
        await asyncio.sleep(0)
        if not loop._ready:  # type: ignore[attr-defined]
            return
