"""Compare with members of the zone, for changes that gossip missed."""

import logging
from collections.abc import Sequence

from goldcrestwharf.errors import PeerError
from goldcrestwharf.membership._core import Core
from goldcrestwharf.membership._exchange import Exchange
from goldcrestwharf.membership._model import Member

_MS_PER_S = 1000

_log = logging.getLogger(__name__)


class Syncer:
    """Periodic comparison with one of a few partners, sooner if they differ.

    The partners are chosen by rendezvous hashing, so that a daemon keeps
    few streams open; together they still connect the whole zone.
    """

    def __init__(self, *, core: Core, exchange: Exchange) -> None:
        """Compare through ``exchange``."""
        self._core = core
        self._exchange = exchange

    async def run(self) -> None:
        """Compare until cancelled."""
        core = self._core
        is_differing = True
        while True:
            longest = (
                core.cfg.sync_soon_ms if is_differing else core.cfg.sync_ms
            )
            wait = core.rng.uniform(longest / 2, longest) / _MS_PER_S
            await core.timers.sleep(wait)
            is_differing = await self.sync()

    async def sync(self) -> bool:
        """Compare once; return whether there were differences."""
        partners = self._partners()
        if not partners:
            return False
        partner = self._core.rng.choice(partners)
        try:
            outcome = await self._exchange.run(partner.address)
        except PeerError as exc:
            _log.debug('sync.failed vm=%s reason=%s', partner.vm, exc)
            return False
        return outcome.received > 0

    def _partners(self) -> Sequence[Member]:
        local = self._core.membership.local
        holders = self._core.roles.holders(
            f'sync {local.vm}',
            local.zone,
            self._core.cfg.sync_partners + 1,
        )
        return [one for one in holders if one.vm != local.vm]
