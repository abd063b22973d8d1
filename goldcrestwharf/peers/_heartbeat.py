"""Find streams that are open but let nothing through any more."""

import logging

import anyio
from anyio.abc import TaskGroup

from goldcrestwharf.errors import PeerError
from goldcrestwharf.peers._link import Link
from goldcrestwharf.peers._settings import PeerSettings
from goldcrestwharf.timers import Timers, subscribe
from goldcrestwharf.wire import Frame, FrameKind

_log = logging.getLogger(__name__)

_MS_PER_S = 1000


async def watch_silence(
    link: Link,
    timers: Timers,
    cfg: PeerSettings,
) -> None:
    """Ping the peer and close the stream once it is silent too long.

    A write that is stuck does not delay the verdict: pings are written in
    tasks of their own, and none is added while a write is under way.
    """
    bound = cfg.silence_ms / _MS_PER_S
    period = cfg.heartbeat_ms / _MS_PER_S
    async with anyio.create_task_group() as tg:
        async for _ in subscribe(timers, period=period):
            if link.silence() > bound:
                break
            _ping(link, tg)
        _log.warning('peer.silent bound_ms=%d', cfg.silence_ms)
        await link.close()
        tg.cancel_scope.cancel()


async def write_control(link: Link, kind: FrameKind) -> None:
    """Write a frame without payload; close the stream if that fails."""
    try:
        await link.write(Frame(kind=kind))
    except PeerError:
        await link.close()


def _ping(link: Link, tg: TaskGroup) -> None:
    if not link.is_writing():
        tg.start_soon(write_control, link, FrameKind.PING)
