"""Make and run the tasks of one daemon's membership."""

import anyio

from goldcrestwharf.membership._bridge import Bridge
from goldcrestwharf.membership._core import Core
from goldcrestwharf.membership._exchange import Exchange
from goldcrestwharf.membership._gossiper import Gossiper
from goldcrestwharf.membership._joiner import Joiner
from goldcrestwharf.membership._learner import Learner
from goldcrestwharf.membership._prober import Prober
from goldcrestwharf.membership._receiver import Receiver
from goldcrestwharf.membership._rotation import Rotation
from goldcrestwharf.membership._seeds import SeedSource
from goldcrestwharf.membership._syncer import Syncer
from goldcrestwharf.membership._testimony import Testimony


class Tasks:
    """Hold the parts that run side by side."""

    def __init__(
        self,
        *,
        core: Core,
        exchange: Exchange,
        learner: Learner,
        seeds: SeedSource,
    ) -> None:
        """Make the parts; :meth:`run` starts them."""
        rotation = Rotation(membership=core.membership, rng=core.rng)
        self.receiver = Receiver(core=core, learner=learner)
        self.gossiper = Gossiper(core=core, rotation=rotation)
        self.joiner = Joiner(core=core, exchange=exchange, seeds=seeds)
        self.testimony = Testimony(core=core)
        self._loops = (
            self.receiver.run,
            self.gossiper.run,
            self.joiner.run,
            self.testimony.run,
            Prober(core=core, rotation=rotation).run,
            Syncer(core=core, exchange=exchange).run,
            Bridge(core=core, exchange=exchange).run,
        )

    async def run(self) -> None:
        """Run all parts until cancelled."""
        async with anyio.create_task_group() as tg:
            for loop in self._loops:
                tg.start_soon(loop)
