"""Follow the platform's log whenever that is this daemon's duty."""

from collections.abc import Awaitable, Callable

import anyio
import attrs

from goldcrestwharf.distribution._duty import ReaderDuty
from goldcrestwharf.timers import Timers, subscribe

_CHECK_S = 0.5

#: Follow the log until cancelled.
FollowLog = Callable[[], Awaitable[None]]


@attrs.frozen(kw_only=True)
class Reading:
    """Start and stop following the log as the duty comes and goes."""

    duty: ReaderDuty
    timers: Timers

    async def run(self, follow_log: FollowLog) -> None:
        """Run ``follow_log`` whenever, and only while, it is the duty."""
        while True:
            await self._wait_for(is_reader=True)
            async with anyio.create_task_group() as tg:
                tg.start_soon(_run, follow_log)
                await self._wait_for(is_reader=False)
                tg.cancel_scope.cancel()

    async def _wait_for(self, *, is_reader: bool) -> None:
        if self.duty.is_reader() is is_reader:
            return
        async for _ in subscribe(self.timers, period=_CHECK_S):
            if self.duty.is_reader() is is_reader:
                return


async def _run(follow_log: FollowLog) -> None:
    await follow_log()
