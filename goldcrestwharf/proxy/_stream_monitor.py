"""Periodic check of a daemon's streams."""

import asyncio
from collections.abc import Callable

from goldcrestwharf.loglines import EventLog
from goldcrestwharf.proxy._core import Core
from goldcrestwharf.proxy._fleet import Fleet

_log = EventLog(__name__)

#: Interval of the checks, in seconds.
_CHECK_INTERVAL_S = 0.2

#: Delay of a check, in seconds, that shows that this process was paused. The
#: silence of streams was its own then, so they are not checked.
_MAX_PAUSE_S = 0.5


async def monitor_streams(
    core: Core,
    fleet: Fleet,
    check_local: Callable[[float], None],
) -> None:
    """Check streams and expire lost daemons, until cancelled."""
    last = core.clock()
    while True:
        await asyncio.sleep(_CHECK_INTERVAL_S)
        now = core.clock()
        if now - last < _MAX_PAUSE_S:
            fleet.check(now)
            check_local(now)
        else:
            _log.warning('daemon.stood_still', for_s=round(now - last, 3))
        last = now
        for record in core.directory.expire(now):
            _log.note('peer.forgotten', peer=record.name)
            fleet.remove(record.name)
