"""Follow the platform's log while this daemon is a reader."""

from collections.abc import Awaitable, Callable

import anyio
import attrs

from goldcrestwharf.distribution._position import TreePosition
from goldcrestwharf.timers import Timers, subscribe

_CHECK_INTERVAL_S = 0.5

#: Follow the log until cancelled.
FollowLog = Callable[[], Awaitable[None]]


@attrs.frozen(kw_only=True)
class ReaderTask:
    """The task that follows the log while this daemon is a reader."""

    position: TreePosition
    timers: Timers

    async def run(self, follow_log: FollowLog) -> None:
        """Run ``follow_log`` whenever, and only while, this is a reader."""
        while True:
            await self._wait_for(is_reader=True)
            async with anyio.create_task_group() as tg:
                tg.start_soon(_run, follow_log)
                await self._wait_for(is_reader=False)
                tg.cancel_scope.cancel()

    async def _wait_for(self, *, is_reader: bool) -> None:
        if self.position.is_reader() is is_reader:
            return
        async for _ in subscribe(self.timers, period=_CHECK_INTERVAL_S):
            if self.position.is_reader() is is_reader:
                return


async def _run(follow_log: FollowLog) -> None:
    await follow_log()
