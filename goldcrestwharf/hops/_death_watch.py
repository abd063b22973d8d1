"""Notice that a target died and which requests were in flight then."""

import logging
from collections.abc import Iterator
from contextlib import contextmanager

import attrs
from anyio.abc import TaskGroup

from goldcrestwharf.hops._target_client import TargetClient
from goldcrestwharf.limits import CrashGuard
from goldcrestwharf.timers import Timers

_log = logging.getLogger(__name__)

#: Losses within this time, with no answer between them, are one death.
_SAME_DEATH_S = 1


@attrs.define(kw_only=True, eq=False)
class InFlightRequest:
    """Name a request that runs on a target.

    ``is_accounted`` is true once a death of the target was looked into
    with this request in flight.
    """

    address: str
    fingerprint: str
    is_accounted: bool = False


class DeathWatch:
    """Tell the crash guard what was in flight when a target died.

    A lost connection alone is no death: the target is asked first, in the
    background, so that nobody waits for the verdict. A death counts once,
    however many connections to the dead process break one after another.
    """

    def __init__(
        self,
        *,
        client: TargetClient,
        guard: CrashGuard,
        tg: TaskGroup,
        timers: Timers,
    ) -> None:
        """Ask targets through ``client`` and tell ``guard``."""
        self._client = client
        self._tg = tg
        self._running: set[InFlightRequest] = set()
        self._deaths = _Deaths(guard=guard, timers=timers)

    @contextmanager
    def run(self, address: str, fingerprint: str) -> Iterator[InFlightRequest]:
        """Count the enclosed block as a request in flight at a target."""
        running = InFlightRequest(address=address, fingerprint=fingerprint)
        self._running.add(running)
        try:
            yield running
        finally:
            self._running.discard(running)

    def note_loss(self, lost: InFlightRequest) -> None:
        """Look into the loss of a connection to a target."""
        if not lost.is_accounted:
            self._tg.start_soon(
                self._look_into,
                lost.address,
                self._account(lost.address),
            )

    def note_answer(self, address: str) -> None:
        """Record that the target lives, so that it can die once more."""
        self._deaths.forget(address)

    def note_death(self, address: str) -> None:
        """Record that the target's process is known to have ended."""
        self._deaths.blame(address, self._account(address))

    async def _look_into(
        self,
        address: str,
        fingerprints: frozenset[str],
    ) -> None:
        if not await self._client.is_alive(address):
            self._deaths.blame(address, fingerprints)

    def _account(self, address: str) -> frozenset[str]:
        suspects = [
            running
            for running in self._running
            if running.address == address and not running.is_accounted
        ]
        for accounted in suspects:
            accounted.is_accounted = True
        return frozenset(suspect.fingerprint for suspect in suspects)


class _Deaths:
    """Tell the guard of deaths, but not of what is left of an earlier one."""

    def __init__(self, *, guard: CrashGuard, timers: Timers) -> None:
        self._guard = guard
        self._timers = timers
        self._died_at: dict[str, float] = {}

    def blame(self, address: str, fingerprints: frozenset[str]) -> None:
        """Hold a death against the requests, unless it is counted already."""
        now = self._timers.now()
        died_at = self._died_at.get(address, float('-inf'))
        if not fingerprints or now - died_at < _SAME_DEATH_S:
            return
        self._died_at[address] = now
        _log.warning(
            'target.died address=%s in_flight=%d',
            address,
            len(fingerprints),
        )
        self._guard.record_death(fingerprints)

    def forget(self, address: str) -> None:
        """Let the next death at ``address`` be a new one."""
        self._died_at.pop(address, None)
