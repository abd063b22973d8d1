"""Join the mesh through a running daemon."""

import logging
from collections.abc import Sequence

import anyio

from goldcrestwharf.errors import PeerError
from goldcrestwharf.membership._core import Core
from goldcrestwharf.membership._exchange import BusyPeerError, Exchange
from goldcrestwharf.membership._model import Member
from goldcrestwharf.membership._seeds import SeedSource
from goldcrestwharf.timers import Backoff

_MS_PER_S = 1000

#: Seeds tried before the next wait.
_MAX_SEEDS_PER_ATTEMPT = 3

_log = logging.getLogger(__name__)


class Joiner:
    """Task that joins at the start and whenever no other daemon is known.

    ``joined`` is an event that is set after the first exchange with another
    daemon, which includes the version floor of this one.
    """

    def __init__(
        self,
        *,
        core: Core,
        exchange: Exchange,
        seeds: SeedSource,
    ) -> None:
        """Join through the daemons that ``seeds`` finds."""
        self.joined = anyio.Event()
        self._core = core
        self._exchange = exchange
        self._seeds = seeds
        self._backoff = Backoff(
            base=core.cfg.join_backoff_ms / _MS_PER_S,
            cap=core.cfg.join_backoff_cap_ms / _MS_PER_S,
            rng=core.rng,
        )

    async def run(self) -> None:
        """Keep this daemon joined until cancelled."""
        while True:
            wait = await self._try_to_join()
            while wait > 0:
                await self._core.timers.sleep(wait)
                wait = await self._try_to_join()
            self._backoff.record_success()
            await self._ask_witnesses()
            self.joined.set()
            await self._wait_until_alone()

    async def _try_to_join(self) -> float:
        """Return zero once joined, else the seconds until the next attempt."""
        for address in await self._choose_seeds():
            try:
                await self._exchange.run(address)
            except BusyPeerError as exc:
                return exc.retry_after
            except PeerError as exc:
                _log.debug('join.failed seed=%s reason=%s', address, exc)
            else:
                return 0
        return self._backoff.record_failure(self._core.now())

    async def _choose_seeds(self) -> Sequence[str]:
        local_address = self._core.membership.local.address
        found = await self._seeds.find_seeds()
        others = [address for address in found if address != local_address]
        count = min(_MAX_SEEDS_PER_ATTEMPT, len(others))
        return self._core.rng.sample(others, count)

    async def _ask_witnesses(self) -> None:
        for member in find_witnesses(self._core):
            try:
                await self._exchange.run(member.address)
            except PeerError as exc:
                _log.debug('join.no_floor vm=%s reason=%s', member.vm, exc)

    async def _wait_until_alone(self) -> None:
        """Return once this daemon knows no other one that is not dead."""
        pause = self._core.cfg.join_backoff_cap_ms / _MS_PER_S
        while self._core.membership.state.has_others():
            await self._core.timers.sleep(pause)


def find_witnesses(core: Core) -> Sequence[Member]:
    """Return the members that store which version this daemon ran."""
    local = core.membership.local
    holders = core.roles.holders(
        f'witness {local.vm}',
        local.zone,
        core.cfg.witnesses + 1,
    )
    others = [one for one in holders if one.vm != local.vm]
    return others[: core.cfg.witnesses]
