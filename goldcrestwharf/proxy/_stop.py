"""Stop a daemon without cutting off a request."""

import asyncio

from goldcrestwharf.loglines import EventLog
from goldcrestwharf.proxy._daemon import ProxyDaemon

_log = EventLog(__name__)

#: Seconds for which callers may still come after the daemon has said that it
#: leaves: two missed questions, a second apart, and their time on the way.
_CALLERS_COME_S = 2.6

#: Seconds without a new request after which no more are expected.
_QUIET_S = 0.5

#: Share of the grace period at whose end the daemon leaves in any case.
_LATEST_SHARE = 0.96

#: Seconds between two looks at what is in flight.
_LOOK_S = 0.05


async def stop_gracefully(daemon: ProxyDaemon) -> None:
    """Say that the daemon leaves, serve until all have gone, and close."""
    began_at = daemon.core.clock()
    latest_at = began_at + daemon.core.cfg.grace_period * _LATEST_SHARE
    daemon.leave(latest_at)
    _log.note('daemon.leaving', in_flight=daemon.activity().in_flight)
    try:
        async with asyncio.timeout_at(latest_at):
            await _finish(daemon, began_at)
    except TimeoutError:
        _log.warn('daemon.cut_off', in_flight=daemon.activity().in_flight)
    _log.note(
        'daemon.left',
        in_flight=daemon.activity().in_flight,
        after_s=round(daemon.core.clock() - began_at, 2),
    )
    daemon.close()
    # Lets the last bytes leave.
    await asyncio.sleep(_LOOK_S)


async def _finish(daemon: ProxyDaemon, began_at: float) -> None:
    is_done = False
    while not is_done:
        await asyncio.sleep(_LOOK_S)
        is_done = _is_done(daemon, began_at)


def _is_done(daemon: ProxyDaemon, began_at: float) -> bool:
    activity = daemon.activity()
    quiet_since = max(
        activity.last_request_at + _QUIET_S,
        began_at + _CALLERS_COME_S,
    )
    is_quiet = daemon.core.clock() > quiet_since
    return is_quiet and activity.in_flight == 0
