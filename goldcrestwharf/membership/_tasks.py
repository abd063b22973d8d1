"""Make and run the tasks of one daemon's membership."""

import anyio

from goldcrestwharf.membership._bridge import Bridge
from goldcrestwharf.membership._core import Core
from goldcrestwharf.membership._exchange import Exchange
from goldcrestwharf.membership._gossip_handler import GossipHandler
from goldcrestwharf.membership._gossiper import Gossiper
from goldcrestwharf.membership._joiner import Joiner
from goldcrestwharf.membership._prober import Prober
from goldcrestwharf.membership._receiver import Receiver
from goldcrestwharf.membership._rotation import Rotation
from goldcrestwharf.membership._seeds import SeedSource
from goldcrestwharf.membership._syncer import Syncer
from goldcrestwharf.membership._version_reporter import VersionReporter


class Tasks:
    """Concurrent tasks of one daemon's membership."""

    def __init__(
        self,
        *,
        core: Core,
        exchange: Exchange,
        gossip_handler: GossipHandler,
        seeds: SeedSource,
    ) -> None:
        """Make the tasks; :meth:`run` starts them."""
        rotation = Rotation(membership=core.membership, rng=core.rng)
        self.receiver = Receiver(core=core, gossip_handler=gossip_handler)
        self.gossiper = Gossiper(core=core, rotation=rotation)
        self.joiner = Joiner(core=core, exchange=exchange, seeds=seeds)
        self.version_reporter = VersionReporter(core=core)
        self._loops = (
            self.receiver.run,
            self.gossiper.run,
            self.joiner.run,
            self.version_reporter.run,
            Prober(core=core, rotation=rotation).run,
            Syncer(core=core, exchange=exchange).run,
            Bridge(core=core, exchange=exchange).run,
        )

    async def run(self) -> None:
        """Run all tasks until cancelled."""
        async with anyio.create_task_group() as tg:
            for loop in self._loops:
                tg.start_soon(loop)
