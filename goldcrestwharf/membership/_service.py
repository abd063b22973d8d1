"""Run the membership of one daemon."""

from collections.abc import Sequence

import attrs

from goldcrestwharf.membership._admission import Admission
from goldcrestwharf.membership._beacons import Beacons
from goldcrestwharf.membership._core import (
    MembershipContext,
    make_core,
)
from goldcrestwharf.membership._datagrams import Datagrams
from goldcrestwharf.membership._exchange import Exchange
from goldcrestwharf.membership._learner import Learner
from goldcrestwharf.membership._model import MemberState, Target
from goldcrestwharf.membership._responder import Responder
from goldcrestwharf.membership._seeds import SeedSource
from goldcrestwharf.membership._tasks import Tasks
from goldcrestwharf.membership._view import LiveView
from goldcrestwharf.peers import Handlers, Peers
from goldcrestwharf.platform import Log

#: Members that hear directly of this daemon's leaving.
_FAREWELLS = 8


class MembershipService:
    """Keep this daemon known to the mesh, and the mesh known to it.

    ``view`` answers what other packages ask, ``duties`` who holds a duty,
    ``joined`` is set once another daemon has told what it knows, and
    ``drops`` counts the datagrams that were not read.
    """

    def __init__(
        self,
        *,
        context: MembershipContext,
        datagrams: Datagrams,
        peers: Peers,
        seeds: SeedSource,
    ) -> None:
        """Use ``datagrams`` for probes and ``peers`` for comparisons."""
        self._core = make_core(context, datagrams)
        self._cluster = context.credentials.cluster
        learner = Learner(core=self._core, peers=peers)
        self._learner = learner
        exchange = Exchange(core=self._core, peers=peers, learner=learner)
        self._tasks = Tasks(
            core=self._core,
            exchange=exchange,
            learner=learner,
            seeds=seeds,
        )
        self.view = LiveView(membership=self._core.membership)
        self.duties = self._core.duties
        self.joined = self._tasks.joiner.joined
        self.drops = self._tasks.receiver.drops

    def register(self, handlers: Handlers) -> None:
        """Answer the comparisons that other daemons open."""
        core = self._core
        admission = Admission(
            records_per_s=core.cfg.sync_records_per_s,
            timers=core.timers,
            rng=core.rng,
        )
        responder = Responder(
            core=core,
            learner=self._learner,
            admission=admission,
        )
        responder.register(handlers)

    async def run(self) -> None:
        """Join, probe, spread and compare until cancelled."""
        await self._tasks.run()

    async def run_beacons(self, log: Log) -> None:
        """Announce this zone in the platform's log until cancelled."""
        beacons = Beacons(core=self._core, log=log, cluster=self._cluster)
        await beacons.run()

    def set_targets(self, targets: Sequence[Target]) -> None:
        """Announce ``targets`` as all that run on this VM."""
        own = self._core.membership.own
        renewed = attrs.evolve(
            own,
            targets=tuple(targets),
            revision=own.revision + 1,
        )
        self._core.membership.declare(renewed)

    def set_running(self, version: str) -> None:
        """Tell the witnesses that this daemon runs ``version`` now."""
        self._tasks.testimony.set_running(version)

    async def leave(self, state: MemberState = MemberState.LEAVING) -> None:
        """Announce that this daemon leaves, to several members at once.

        It keeps answering, holds no duties any more and gets no new work.
        Once all work has ended, call this again with ``DEAD``.
        """
        membership = self._core.membership
        membership.declare(attrs.evolve(membership.own, state=state))
        await self._tasks.gossiper.spread(_FAREWELLS)
