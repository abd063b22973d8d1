"""Detect streams that are open but no longer deliver anything."""

import logging

from goldcrestwharf.peers._link import Link
from goldcrestwharf.peers._settings import PeerSettings
from goldcrestwharf.timers import Timers, subscribe
from goldcrestwharf.wire import Frame, FrameKind

_log = logging.getLogger(__name__)

_MS_PER_S = 1000
_MAX_TICK_DELAY_PERIODS = 2


async def close_when_silent(
    link: Link,
    timers: Timers,
    cfg: PeerSettings,
) -> None:
    """Ping the peer and close the stream after ``silence_ms`` of silence.

    No ping is queued while a write is under way. A late tick shows that
    this process itself was paused; the peer then gets another period, in
    which what it sent meanwhile is read.
    """
    timeout = cfg.silence_ms / _MS_PER_S
    period = cfg.heartbeat_ms / _MS_PER_S
    ticked_at = timers.now()
    async for now in subscribe(timers, period=period):
        is_late = now - ticked_at > period * _MAX_TICK_DELAY_PERIODS
        ticked_at = now
        if link.silent_for() > timeout and not is_late:
            break
        if not link.outbox:
            post_control(link, FrameKind.PING)
    _log.warning('peer.silent bound_ms=%d', cfg.silence_ms)
    await link.close()


def post_control(link: Link, kind: FrameKind) -> None:
    """Queue a frame without payload unless the stream is closed."""
    if not link.closed.is_set():
        link.outbox.post(Frame(kind=kind))
