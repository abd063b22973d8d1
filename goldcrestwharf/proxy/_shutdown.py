"""Graceful shutdown of a daemon."""

import asyncio

from goldcrestwharf.loglines import EventLog
from goldcrestwharf.proxy._daemon import Activity, ProxyDaemon

_log = EventLog(__name__)

#: Seconds in which callers may still send requests after the shutdown was
#: announced: two missed health checks, a second apart, and the latency.
_CALLER_NOTICE_S = 2.6

#: Seconds without a new request after which no more are expected.
_QUIET_PERIOD_S = 0.5

#: Time between two checks, in seconds, that shows a pause of the process.
#: Requests that arrived in a pause are read only after it.
_MAX_CHECK_INTERVAL_S = 0.1

#: Fraction of the grace period after which the daemon exits in any case.
_MAX_GRACE_FRACTION = 0.96

#: Fraction of the grace period for which SIGTERM may have waited at most. After
#: a longer pause its time is unknown, and requests need some of the rest.
_MAX_DELAY_FRACTION = 0.25

#: Interval of the checks for requests in flight, in seconds.
_CHECK_INTERVAL_S = 0.05


async def stop_gracefully(daemon: ProxyDaemon) -> None:
    """Announce the shutdown, finish all requests, and close the daemon.

    A request is finished when its answer has been sent, since the exit of the
    process drops what waits for a slow caller. The grace period counts from
    the earliest time at which SIGTERM may have been sent.
    """
    began_at = daemon.core.clock()
    grace_period = daemon.core.cfg.grace_period
    signalled_at = max(
        daemon.core.pauses.find_earliest(),
        began_at - grace_period * _MAX_DELAY_FRACTION,
    )
    latest_at = signalled_at + grace_period * _MAX_GRACE_FRACTION
    daemon.begin_shutdown(latest_at, began_at=signalled_at)
    _log.note('daemon.leaving', **_fields(daemon))
    try:
        async with asyncio.timeout_at(latest_at):
            await _finish(daemon, began_at)
    except TimeoutError:
        await _answer_the_rest(daemon)
    after_s = round(daemon.core.clock() - began_at, 2)
    _log.note('daemon.left', **_fields(daemon), after_s=after_s)
    daemon.close()
    # Lets the last bytes be sent.
    await asyncio.sleep(_CHECK_INTERVAL_S)


async def _answer_the_rest(daemon: ProxyDaemon) -> None:
    """Answer callers and other daemons; the outcomes are unknown."""
    activity = daemon.activity()
    if not (activity.in_flight or activity.unsent):
        return
    _log.warning('daemon.cut_off', **_fields(daemon))
    daemon.core.answer_timeouts.end_all()
    await asyncio.sleep(_CHECK_INTERVAL_S)


class _IdleCheck:
    """Decides whether callers send no more requests; times are monotonic."""

    def __init__(self, began_at: float) -> None:
        """Start at the begin of a shutdown."""
        self._quiet_until = began_at + _CALLER_NOTICE_S
        self._checked_at = began_at
        self._was_idle = False

    def check(self, activity: Activity, now: float) -> bool:
        """Return whether the shutdown is finished.

        A check that is late counts only after another one, as what arrived
        in a pause of the process is read in between.
        """
        is_late = now - self._checked_at > _MAX_CHECK_INTERVAL_S
        self._checked_at = now
        self._quiet_until = max(
            self._quiet_until, activity.last_request_at + _QUIET_PERIOD_S
        )
        was_idle = self._was_idle
        self._was_idle = now > self._quiet_until and _is_idle(activity)
        return self._was_idle and (was_idle or not is_late)


async def _finish(daemon: ProxyDaemon, began_at: float) -> None:
    idle_check = _IdleCheck(began_at)
    is_done = False
    while not is_done:
        await asyncio.sleep(_CHECK_INTERVAL_S)
        is_done = idle_check.check(daemon.activity(), daemon.core.clock())


def _is_idle(activity: Activity) -> bool:
    return activity.in_flight == 0 and not activity.unsent


def _fields(daemon: ProxyDaemon) -> dict[str, int]:
    activity = daemon.activity()
    return {'in_flight': activity.in_flight, 'unsent': activity.unsent}
