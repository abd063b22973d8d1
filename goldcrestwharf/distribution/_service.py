"""Join the parts that bring each configuration to this daemon and on."""

import random

import anyio
import attrs

from goldcrestwharf.distribution._adoption import Adoption
from goldcrestwharf.distribution._comparer import Comparer
from goldcrestwharf.distribution._duty import LogHealth, ReaderDuty
from goldcrestwharf.distribution._follower import Fetcher, Follower
from goldcrestwharf.distribution._messages import Fetch
from goldcrestwharf.distribution._reading import FollowLog, Reading
from goldcrestwharf.distribution._relay import Relay
from goldcrestwharf.distribution._settings import DistributionSettings
from goldcrestwharf.membership import MembershipView
from goldcrestwharf.peers import Handlers, Peers
from goldcrestwharf.replay import SnapshotHolder
from goldcrestwharf.timers import Timers


@attrs.frozen(kw_only=True)
class DistributionStatus:
    """Tell how this daemon gets its configuration.

    ``parent`` is the VM that is followed, empty for a reader of the log;
    ``last_error`` names what was refused last, empty if nothing was.
    """

    is_reader: bool
    depth: int
    parent: str
    last_error: str


@attrs.define(kw_only=True, eq=False)
class Distribution:
    """Follow, relay and compare configurations.

    What other daemons bring goes to ``holder``, and what it runs is relayed
    to those that follow. ``is_log_healthy`` tells a reader whether the
    platform answers.
    """

    holder: SnapshotHolder
    view: MembershipView
    peers: Peers
    timers: Timers
    rng: random.Random
    cfg: DistributionSettings
    is_log_healthy: LogHealth
    _adoption: Adoption = attrs.field(init=False)
    _duty: ReaderDuty = attrs.field(init=False)
    _relay: Relay = attrs.field(init=False)
    _follower: Follower = attrs.field(init=False)
    _comparer: Comparer = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Join the parts."""
        self._adoption = Adoption(holder=self.holder)
        self._duty = ReaderDuty(
            view=self.view,
            cfg=self.cfg,
            rng=self.rng,
            is_log_healthy=self.is_log_healthy,
        )
        self._relay = Relay(
            holder=self.holder,
            timers=self.timers,
            cfg=self.cfg,
            rng=self.rng,
            window=self._duty.window,
        )
        self._add_fetching()

    def register(self, handlers: Handlers) -> None:
        """Answer the fetches of other daemons."""
        handlers.on(Fetch)(self._relay.answer)

    async def run(self, follow_log: FollowLog) -> None:
        """Run all parts; ``follow_log`` runs while this daemon reads."""
        reading = Reading(duty=self._duty, timers=self.timers)
        async with anyio.create_task_group() as tg:
            tg.start_soon(self._relay.run)
            tg.start_soon(self._follower.run)
            tg.start_soon(self._comparer.run)
            tg.start_soon(reading.run, follow_log)

    def status(self) -> DistributionStatus:
        """Return how this daemon gets its configuration now."""
        own = self.view.local_member().vm
        tree = self._duty.tree()
        return DistributionStatus(
            is_reader=tree.is_reader(own),
            depth=tree.depth(own),
            parent=self._follower.parent,
            last_error=self._adoption.last_error,
        )

    def _add_fetching(self) -> None:
        fetcher = Fetcher(
            holder=self.holder,
            adoption=self._adoption,
            peers=self.peers,
        )
        self._follower = Follower(
            parents=self._duty,
            fetcher=fetcher,
            timers=self.timers,
            cfg=self.cfg,
            rng=self.rng,
        )
        self._comparer = Comparer(
            view=self.view,
            fetcher=fetcher,
            timers=self.timers,
            cfg=self.cfg,
            rng=self.rng,
        )
