"""Run the membership of one daemon."""

from collections.abc import Sequence

import anyio
import attrs

from goldcrestwharf.membership._beacons import Beacons
from goldcrestwharf.membership._core import (
    Core,
    MembershipContext,
    make_core,
)
from goldcrestwharf.membership._datagrams import Datagrams
from goldcrestwharf.membership._exchange import Exchange
from goldcrestwharf.membership._gossip_handler import GossipHandler
from goldcrestwharf.membership._model import MemberState, Target
from goldcrestwharf.membership._rate_limiter import RecordRateLimiter
from goldcrestwharf.membership._responder import Responder
from goldcrestwharf.membership._seeds import SeedSource
from goldcrestwharf.membership._tasks import Tasks
from goldcrestwharf.membership._view import LiveView
from goldcrestwharf.peers import Handlers, Peers

#: Members that are notified directly when this daemon leaves.
_MAX_LEAVE_NOTICES = 8


class MembershipService:
    """Membership of one daemon: joining, probes, gossip and comparisons.

    ``view`` gives the other packages read access and ``roles`` the holders
    of roles. ``joined`` is set after the first exchange with another daemon
    and ``drops`` counts the rejected datagrams.
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
        gossip_handler = GossipHandler(core=self._core, peers=peers)
        self._gossip_handler = gossip_handler
        exchange = Exchange(
            core=self._core, peers=peers, gossip_handler=gossip_handler
        )
        self._tasks = Tasks(
            core=self._core,
            exchange=exchange,
            gossip_handler=gossip_handler,
            seeds=seeds,
        )
        self.view = LiveView(membership=self._core.membership)
        self.roles = self._core.roles
        self.joined = self._tasks.joiner.joined
        self.drops = self._tasks.receiver.drops

    def register(self, handlers: Handlers) -> None:
        """Answer the comparisons that other daemons start."""
        core = self._core
        rate_limiter = RecordRateLimiter(
            records_per_s=core.cfg.sync_records_per_s,
            timers=core.timers,
            rng=core.rng,
        )
        responder = Responder(
            core=core,
            gossip_handler=self._gossip_handler,
            rate_limiter=rate_limiter,
        )
        responder.register(handlers)

    async def run(self) -> None:
        """Join, probe, gossip and compare until cancelled."""
        async with anyio.create_task_group() as tg:
            tg.start_soon(self._tasks.run)
            if self._beacons is not None:
                tg.start_soon(self._beacons.run)

    def set_targets(self, targets: Sequence[Target]) -> None:
        """Announce ``targets`` as the complete list of this VM."""
        local = self._core.membership.local
        updated = attrs.evolve(
            local,
            targets=tuple(targets),
            revision=local.revision + 1,
        )
        self._core.membership.set_local_member(updated)

    def set_running(self, version: str) -> None:
        """Report to the witnesses that this daemon runs ``version`` now."""
        self._tasks.version_reporter.set_running(version)

    async def leave(self) -> None:
        """Announce to several members at once that this daemon leaves.

        It continues to answer, but holds no roles and gets no new requests.
        """
        await _announce_state(self._core, self._tasks, MemberState.LEAVING)

    async def depart(self) -> None:
        """Announce that this daemon stops; call it after the last request.

        The record has no targets, so that it fits a datagram: a larger one
        would have to be fetched from a daemon that has stopped.
        """
        self.set_targets(())
        await _announce_state(self._core, self._tasks, MemberState.DEAD)


def _make_beacons(context: MembershipContext, core: Core) -> Beacons | None:
    if context.log is None:
        return None
    return Beacons(
        core=core,
        log=context.log,
        cluster=context.credentials.cluster,
    )


async def _announce_state(core: Core, tasks: Tasks, state: MemberState) -> None:
    membership = core.membership
    membership.set_local_member(attrs.evolve(membership.local, state=state))
    await tasks.gossiper.send_changes(_MAX_LEAVE_NOTICES)
