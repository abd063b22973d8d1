"""Detect crashed targets and the requests that were in flight."""

import logging
from collections.abc import Iterator
from contextlib import contextmanager

import attrs
from anyio.abc import TaskGroup

from goldcrestwharf.hops._target_client import TargetClient
from goldcrestwharf.quarantine import CrashGuard
from goldcrestwharf.timers import Timers

_log = logging.getLogger(__name__)

#: Connections lost within this time, with no answer in between, count as
#: one crash.
_SAME_CRASH_WINDOW_S = 1


@attrs.define(kw_only=True, eq=False)
class InFlightRequest:
    """A request that runs on a target.

    ``is_accounted`` is set once the request has been included in the check
    of a possible crash, so that it is reported once at most.
    """

    address: str
    fingerprint: str
    is_accounted: bool = False


class CrashDetector:
    """A detector of crashes that reports the requests in flight.

    A lost connection alone is not taken for a crash: a background task first
    checks whether the target still runs, so that no request waits for it.
    The connections to a crashed process break one after another, and all of
    them count as one crash.
    """

    def __init__(
        self,
        *,
        client: TargetClient,
        guard: CrashGuard,
        tg: TaskGroup,
        timers: Timers,
    ) -> None:
        """Check targets through ``client`` and report to ``guard``."""
        self._client = client
        self._tg = tg
        self._running: set[InFlightRequest] = set()
        self._reporter = _CrashReporter(guard=guard, timers=timers)

    @contextmanager
    def track(
        self, address: str, fingerprint: str
    ) -> Iterator[InFlightRequest]:
        """Register the enclosed block as a request in flight."""
        running = InFlightRequest(address=address, fingerprint=fingerprint)
        self._running.add(running)
        try:
            yield running
        finally:
            self._running.discard(running)

    def check_lost_connection(self, lost: InFlightRequest) -> None:
        """Check in the background whether the target has crashed."""
        if not lost.is_accounted:
            self._tg.start_soon(
                self._check_target,
                lost.address,
                self._mark_accounted(lost.address),
            )

    def record_answer(self, address: str) -> None:
        """Record that the target runs, so that its next crash counts."""
        self._reporter.reset(address)

    def report_crash(self, address: str) -> None:
        """Report a crash that needs no check."""
        self._reporter.report(address, self._mark_accounted(address))

    async def _check_target(
        self,
        address: str,
        fingerprints: frozenset[str],
    ) -> None:
        if not await self._client.is_alive(address):
            self._reporter.report(address, fingerprints)

    def _mark_accounted(self, address: str) -> frozenset[str]:
        unaccounted = [
            running
            for running in self._running
            if running.address == address and not running.is_accounted
        ]
        for request in unaccounted:
            request.is_accounted = True
        return frozenset(taken.fingerprint for taken in unaccounted)


class _CrashReporter:
    """A reporter of crashes to the guard that drops repeated reports."""

    def __init__(self, *, guard: CrashGuard, timers: Timers) -> None:
        self._guard = guard
        self._timers = timers
        self._crashed_at: dict[str, float] = {}

    def report(self, address: str, fingerprints: frozenset[str]) -> None:
        """Report a crash unless it was already reported."""
        now = self._timers.now()
        crashed_at = self._crashed_at.get(address, float('-inf'))
        if not fingerprints or now - crashed_at < _SAME_CRASH_WINDOW_S:
            return
        self._crashed_at[address] = now
        _log.warning(
            'target.died address=%s in_flight=%d',
            address,
            len(fingerprints),
        )
        self._guard.record_death(fingerprints)

    def reset(self, address: str) -> None:
        """Count the next loss at ``address`` as a new crash."""
        self._crashed_at.pop(address, None)
