"""Find streams that are open but let nothing through any more."""

import logging

from goldcrestwharf.peers._link import Link
from goldcrestwharf.peers._settings import PeerSettings
from goldcrestwharf.timers import Timers, subscribe
from goldcrestwharf.wire import Frame, FrameKind

_log = logging.getLogger(__name__)

_MS_PER_S = 1000
_LATE_PERIODS = 2


async def watch_silence(
    link: Link,
    timers: Timers,
    cfg: PeerSettings,
) -> None:
    """Ping the peer and close the stream once it is silent too long.

    No ping is added while a write is under way. A tick that comes late
    shows that this process stood still itself; the peer then gets another
    period, in which what it sent meanwhile is read.
    """
    bound = cfg.silence_ms / _MS_PER_S
    period = cfg.heartbeat_ms / _MS_PER_S
    ticked_at = timers.now()
    async for now in subscribe(timers, period=period):
        is_late = now - ticked_at > period * _LATE_PERIODS
        ticked_at = now
        if link.silence() > bound and not is_late:
            break
        if not link.outbox:
            post_control(link, FrameKind.PING)
    _log.warning('peer.silent bound_ms=%d', cfg.silence_ms)
    await link.close()


def post_control(link: Link, kind: FrameKind) -> None:
    """Queue a frame without payload unless the stream is closed."""
    if not link.closed.is_set():
        link.outbox.post(Frame(kind=kind))
