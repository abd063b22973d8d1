"""Spread changes faster than the probes alone would carry them."""

import anyio

from goldcrestwharf.membership._core import Core
from goldcrestwharf.membership._rotation import Rotation
from goldcrestwharf.timers import subscribe

_MS_PER_S = 1000
_JITTER = 0.1


class Gossiper:
    """Send changes to a few random members as long as there are any."""

    def __init__(self, *, core: Core, rotation: Rotation) -> None:
        """Spread what ``core`` learns."""
        self._core = core
        self._rotation = rotation

    async def run(self) -> None:
        """Spread until cancelled."""
        core = self._core
        period = core.cfg.gossip_ms / _MS_PER_S
        ticks = subscribe(
            core.timers,
            period=period,
            jitter=_JITTER,
            rng=core.rng,
        )
        async for _ in ticks:
            await self.spread(core.cfg.gossip_fanout)

    async def spread(self, count: int) -> None:
        """Send one datagram of changes to each of ``count`` members."""
        if not len(self._core.membership.known.gossip):
            return
        async with anyio.create_task_group() as tg:
            for target in self._rotation.pick(count):
                tg.start_soon(self._core.messenger.spread, target)
