"""Run the membership of one daemon."""

from collections.abc import Sequence

import anyio
import attrs

from goldcrestwharf.membership._admission import Admission
from goldcrestwharf.membership._beacons import Beacons
from goldcrestwharf.membership._core import (
    Core,
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
        self._beacons = _make_beacons(context, self._core)
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
        async with anyio.create_task_group() as tg:
            tg.start_soon(self._tasks.run)
            if self._beacons is not None:
                tg.start_soon(self._beacons.run)

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

    async def leave(self) -> None:
        """Announce that this daemon leaves, to several members at once.

        It keeps answering, holds no duties any more and gets no new work.
        """
        await _declare(self._core, self._tasks, MemberState.LEAVING)

    async def depart(self) -> None:
        """Announce that this daemon ends now; call it after the last work.

        The record names no targets any more, so that it fits a datagram:
        nobody could fetch the rest from a daemon that has ended.
        """
        self.set_targets(())
        await _declare(self._core, self._tasks, MemberState.DEAD)


def _make_beacons(context: MembershipContext, core: Core) -> Beacons | None:
    if context.log is None:
        return None
    return Beacons(
        core=core,
        log=context.log,
        cluster=context.credentials.cluster,
    )


async def _declare(core: Core, tasks: Tasks, state: MemberState) -> None:
    membership = core.membership
    membership.declare(attrs.evolve(membership.own, state=state))
    await tasks.gossiper.spread(_FAREWELLS)
