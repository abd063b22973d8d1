"""Close idle streams.

A daemon compares its records with other daemons every few seconds. If each
such stream stayed open, it could hold one to every daemon of its zone, with
a heartbeat on each.
"""

import anyio

from goldcrestwharf.peers._conn import PeerConn
from goldcrestwharf.peers._settings import PeerSettings
from goldcrestwharf.timers import Timers, subscribe

_MS_PER_S = 1000
_CHECKS_PER_TIMEOUT = 3


async def run_until_idle(
    conn: PeerConn,
    timers: Timers,
    cfg: PeerSettings,
) -> None:
    """Run ``conn`` until it ends or this end didn't use it for ``idle_ms``.

    Only the end that opened a stream closes it as idle, so that none of its
    own calls can be under way on it.
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
    timeout = cfg.idle_ms / _MS_PER_S
    async for _ in subscribe(timers, period=timeout / _CHECKS_PER_TIMEOUT):
        if conn.idle_for() >= timeout:
            await conn.close()
            return
