"""Periodic check of a daemon's streams."""

import asyncio
from collections.abc import Callable

from goldcrestwharf.loglines import EventLog
from goldcrestwharf.proxy._core import Core
from goldcrestwharf.proxy._fleet import Fleet

_log = EventLog(__name__)

#: Interval of the checks, in seconds.
_CHECK_INTERVAL_S = 0.2


async def monitor_streams(
    core: Core,
    fleet: Fleet,
    check_incoming: Callable[[float], None],
    check_local: Callable[[float], None],
) -> None:
    """Check streams and expire lost daemons, until cancelled.

    After a pause of this process the silence of streams was its own: only
    ``check_local`` is called then.
    """
    while True:
        await asyncio.sleep(_CHECK_INTERVAL_S)
        now = core.clock()
        pause = core.pauses.find_pause()
        if pause:
            _log.warning(
                'daemon.stood_still',
                for_s=round(pause, 3),
                processor_s=round(core.pauses.find_processor_time(), 3),
            )
        else:
            fleet.check(now)
            check_incoming(now)
        check_local(now)
        core.pauses.record_activity()
        for record in core.directory.expire(now):
            _log.note('peer.forgotten', peer=record.name)
            fleet.remove(record.name)
