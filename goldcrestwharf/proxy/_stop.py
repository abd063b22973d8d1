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
_LATEST_SHARE = 0.92

#: Seconds between two looks at what is in flight.
_LOOK_S = 0.05


async def stop_gracefully(daemon: ProxyDaemon) -> None:
    """Say that the daemon leaves, serve until all have gone, and close."""
    daemon.leave()
    began_at = daemon.clock()
    _log.info('daemon.leaving', in_flight=daemon.in_flight)
    latest_at = began_at + daemon.cfg.grace_period * _LATEST_SHARE
    while daemon.clock() < latest_at and not _is_done(daemon, began_at):
        await asyncio.sleep(_LOOK_S)
    _log.info(
        'daemon.left',
        in_flight=daemon.in_flight,
        after_s=round(daemon.clock() - began_at, 2),
    )
    daemon.close()
    # Lets the last bytes leave.
    await asyncio.sleep(_LOOK_S)


def _is_done(daemon: ProxyDaemon, began_at: float) -> bool:
    now = daemon.clock()
    quiet_since = max(
        daemon.callers.serving.last_request_at + _QUIET_S,
        began_at + _CALLERS_COME_S,
    )
    return now > quiet_since and daemon.in_flight == 0
