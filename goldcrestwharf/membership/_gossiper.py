"""Spread changes faster than probes alone would."""

import anyio

from goldcrestwharf.membership._core import Core
from goldcrestwharf.membership._rotation import Rotation
from goldcrestwharf.timers import subscribe

_MS_PER_S = 1000
_JITTER_FRACTION = 0.1

#: Queue length up to which each round goes to ``gossip_fanout`` members.
_MAX_FULL_FANOUT_CHANGES = 32


class Gossiper:
    """Periodic task that sends queued changes to a few random members."""

    def __init__(self, *, core: Core, rotation: Rotation) -> None:
        """Send the changes that ``core`` queues."""
        self._core = core
        self._rotation = rotation

    async def run(self) -> None:
        """Send until cancelled; wait without ticks while there is no change."""
        core = self._core
        changes = core.membership.state.table.changes
        period = core.cfg.gossip_ms / _MS_PER_S
        ticks = subscribe(
            core.timers,
            period=period,
            jitter=_JITTER_FRACTION,
            rng=core.rng,
        )
        async for _ in ticks:
            seen = changes.revision
            await self.send_changes(self._fanout())
            if not self._has_changes():
                await changes.wait(seen)

    async def send_changes(self, count: int) -> None:
        """Send one datagram of changes to each of ``count`` members."""
        if not self._has_changes():
            return
        async with anyio.create_task_group() as tg:
            for target in self._rotation.pick(count):
                tg.start_soon(self._core.messenger.send_gossip, target)

    def _fanout(self) -> int:
        """Return how many members a round goes to: one if the queue is long.

        Comparisons spread many changes at a lower cost than gossip.
        """
        is_long = (
            len(self._core.membership.state.gossip) > _MAX_FULL_FANOUT_CHANGES
        )
        return 1 if is_long else self._core.cfg.gossip_fanout

    def _has_changes(self) -> bool:
        return len(self._core.membership.state.gossip) > 0
