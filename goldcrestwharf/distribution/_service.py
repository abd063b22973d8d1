"""Assemble the tasks that receive and relay configurations."""

import random

import anyio
import attrs

from goldcrestwharf.distribution._adopter import Adopter
from goldcrestwharf.distribution._comparer import Comparer
from goldcrestwharf.distribution._follower import Fetcher, Follower
from goldcrestwharf.distribution._messages import Fetch
from goldcrestwharf.distribution._position import LogHealth, TreePosition
from goldcrestwharf.distribution._reader_task import FollowLog, ReaderTask
from goldcrestwharf.distribution._relay import Relay
from goldcrestwharf.distribution._settings import DistributionSettings
from goldcrestwharf.membership import MembershipView
from goldcrestwharf.peers import Handlers, Peers
from goldcrestwharf.replay import SnapshotHolder
from goldcrestwharf.timers import Timers


@attrs.frozen(kw_only=True)
class DistributionStatus:
    """How this daemon gets its configuration.

    ``depth`` is the number of relays between the log and this daemon,
    ``parent`` the VM that is followed, empty for a reader of the log;
    ``last_error`` is the reason of the last refusal, empty if there was none.
    """

    is_reader: bool
    depth: int
    parent: str
    last_error: str


@attrs.define(kw_only=True, eq=False)
class Distribution:
    """The service that follows, relays and compares configurations.

    What other daemons send goes to ``holder``, and its snapshot is relayed to
    the followers. ``is_log_healthy`` returns whether the platform answers.
    """

    holder: SnapshotHolder
    view: MembershipView
    peers: Peers
    timers: Timers
    rng: random.Random
    cfg: DistributionSettings
    is_log_healthy: LogHealth
    _adopter: Adopter = attrs.field(init=False)
    _position: TreePosition = attrs.field(init=False)
    _relay: Relay = attrs.field(init=False)
    _follower: Follower = attrs.field(init=False)
    _comparer: Comparer = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the tasks."""
        self._adopter = Adopter(holder=self.holder)
        self._position = TreePosition(
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
            coalescing_window=self._position.coalescing_window,
        )
        self._create_fetchers()

    def register(self, handlers: Handlers) -> None:
        """Register the handler of the fetches of other daemons."""
        handlers.on(Fetch)(self._relay.answer)

    async def run(self, follow_log: FollowLog) -> None:
        """Run all tasks; ``follow_log`` runs while this is a reader."""
        reader_task = ReaderTask(position=self._position, timers=self.timers)
        async with anyio.create_task_group() as tg:
            tg.start_soon(self._relay.run)
            tg.start_soon(self._follower.run)
            tg.start_soon(self._comparer.run)
            tg.start_soon(reader_task.run, follow_log)

    def status(self) -> DistributionStatus:
        """Return how this daemon gets its configuration now."""
        local = self.view.local_member().vm
        tree = self._position.tree()
        return DistributionStatus(
            is_reader=tree.is_reader(local),
            depth=tree.depth(local),
            parent=self._follower.parent,
            last_error=self._adopter.last_error,
        )

    def _create_fetchers(self) -> None:
        fetcher = Fetcher(
            holder=self.holder,
            adopter=self._adopter,
            peers=self.peers,
        )
        self._follower = Follower(
            parents=self._position,
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
