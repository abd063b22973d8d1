"""Spread changes faster than the probes alone would carry them."""

import anyio

from goldcrestwharf.membership._core import Core
from goldcrestwharf.membership._rotation import Rotation
from goldcrestwharf.timers import subscribe

_MS_PER_S = 1000
_JITTER = 0.1

#: The length of the queue from which on gossip holds back.
_MANY_CHANGES = 32


class Gossiper:
    """Send changes to a few random members as long as there are any."""

    def __init__(self, *, core: Core, rotation: Rotation) -> None:
        """Spread what ``core`` learns."""
        self._core = core
        self._rotation = rotation

    async def run(self) -> None:
        """Spread until cancelled, idle while there is nothing to spread."""
        core = self._core
        changes = core.membership.known.table.changes
        period = core.cfg.gossip_ms / _MS_PER_S
        ticks = subscribe(
            core.timers,
            period=period,
            jitter=_JITTER,
            rng=core.rng,
        )
        async for _ in ticks:
            seen = changes.revision
            await self.spread(self._fanout())
            if not self._has_changes():
                await changes.wait(seen)

    async def spread(self, count: int) -> None:
        """Send one datagram of changes to each of ``count`` members."""
        if not self._has_changes():
            return
        async with anyio.create_task_group() as tg:
            for target in self._rotation.pick(count):
                tg.start_soon(self._core.messenger.spread, target)

    def _fanout(self) -> int:
        """Return fewer members while the queue is long.

        Comparisons spread many changes for less than gossip does.
        """
        is_long = len(self._core.membership.known.gossip) > _MANY_CHANGES
        return 1 if is_long else self._core.cfg.gossip_fanout

    def _has_changes(self) -> bool:
        return len(self._core.membership.known.gossip) > 0
