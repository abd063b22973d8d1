"""Close streams that nobody uses any more.

A daemon compares itself with a random other one every few seconds. If each
such stream stayed open, it would hold one to every daemon of its zone, with
a heartbeat on each.
"""

import anyio

from goldcrestwharf.peers._conn import PeerConn
from goldcrestwharf.peers._settings import PeerSettings
from goldcrestwharf.timers import Timers, subscribe

_MS_PER_S = 1000
_CHECKS_PER_BOUND = 3


async def run_until_idle(
    conn: PeerConn,
    timers: Timers,
    cfg: PeerSettings,
) -> None:
    """Run ``conn`` until it ends or this end hasn't used it for long.

    Only the end that opened a stream closes it for idleness, so that no
    call of its own can be under way on it.
    """
    async with anyio.create_task_group() as tg:
        tg.start_soon(_close_when_idle, conn, timers, cfg)
        await conn.run()
        tg.cancel_scope.cancel()


async def _close_when_idle(
    conn: PeerConn,
    timers: Timers,
    cfg: PeerSettings,
) -> None:
    bound = cfg.idle_ms / _MS_PER_S
    async for _ in subscribe(timers, period=bound / _CHECKS_PER_BOUND):
        if conn.idle_for() >= bound:
            await conn.close()
            return
