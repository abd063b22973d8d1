"""Run the distribution of many daemons in one process, for measurements.

Each daemon has its own listener on loopback and its own peer connections.
Readers are given each version directly instead of reading a platform log.
"""

import random
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import attrs

from goldcrestwharf.distribution import Distribution, DistributionSettings
from goldcrestwharf.membership import Member, Target
from goldcrestwharf.objects import (
    ObjectSet,
    Route,
    Service,
    TargetGroup,
    digest_of,
)
from goldcrestwharf.peers import (
    Credentials,
    Handlers,
    Identity,
    PeerContext,
    PeerPool,
    PeerSettings,
    serve_peers,
)
from goldcrestwharf.replay import Snapshot, SnapshotHolder, Version
from goldcrestwharf.timers import SystemTimers

ZONE = 'recife-a'
_POLL_INTERVAL_S = 0.0005
_SETTLE_TIME_S = 0.2


def make_snapshot(offset: int, services: int) -> Snapshot:
    """Return a snapshot that differs from other offsets in one service."""
    numbers = range(services)
    objects = ObjectSet(
        target_groups={f'pool-{one}': TargetGroup() for one in numbers},
        services={
            f'service-{one}': Service(
                target_group=f'pool-{one}',
                timeout_ms=1000 + offset * (one == 0),
            )
            for one in numbers
        },
        routes={
            f'route-{one}': Route(
                service=f'service-{one}',
                path_prefix=f'/{one}',
            )
            for one in numbers
        },
    )
    return Snapshot(
        version=Version(1, offset),
        digest=digest_of(objects),
        objects=objects,
    )


@attrs.define(kw_only=True, eq=False)
class Node:
    """The distribution service of one daemon."""

    vm: str
    mesh: 'Mesh'
    address: str = ''
    holder: SnapshotHolder = attrs.field(factory=SnapshotHolder)
    is_reading: bool = False
    is_log_healthy: bool = True
    scope: anyio.CancelScope = attrs.field(factory=anyio.CancelScope)

    async def run(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        """Listen, follow and relay until the scope is cancelled."""
        with self.scope:
            async with anyio.create_task_group() as tg:
                handlers = Handlers()
                context = self._make_context(handlers)
                self.address = await tg.start(
                    serve_peers,
                    '127.0.0.1:0',
                    context,
                )
                distribution = self._make_distribution(context, tg)
                distribution.register(handlers)
                task_status.started()
                await self.mesh.ready.wait()
                await distribution.run(self._follow_log)

    def local_member(self) -> Member:
        """Return the local daemon's record."""
        return Member(
            vm=self.vm,
            zone=ZONE,
            address=self.address,
            incarnation=1,
        )

    def members(self, _zone: str | None = None) -> list[Member]:
        """Return all running daemons."""
        return self.mesh.members

    def targets(self, _group: str) -> list[tuple[Member, Target]]:
        """Return no targets."""
        return []

    def _make_context(self, handlers: Handlers) -> PeerContext:
        identity = Identity(vm=self.vm, zone=ZONE, address='127.0.0.1:1')
        return PeerContext(
            credentials=Credentials(
                cluster='bench',
                key=b'key',
                identity=identity,
            ),
            handlers=handlers,
            timers=SystemTimers(),
            cfg=PeerSettings(),
        )

    def _make_distribution(
        self,
        context: PeerContext,
        tg: anyio.abc.TaskGroup,
    ) -> Distribution:
        rng = random.Random(self.vm)
        return Distribution(
            holder=self.holder,
            view=self,
            peers=PeerPool(context=context, tg=tg, rng=rng),
            timers=SystemTimers(),
            rng=rng,
            cfg=self.mesh.cfg,
            is_log_healthy=lambda: self.is_log_healthy,
        )

    async def _follow_log(self) -> None:
        self.is_reading = True
        await anyio.sleep_forever()


@attrs.define(kw_only=True, eq=False)
class Mesh:
    """The daemons of one zone."""

    size: int
    cfg: DistributionSettings
    nodes: list[Node] = attrs.field(factory=list)
    members: list[Member] = attrs.field(factory=list)
    ready: anyio.Event = attrs.field(factory=anyio.Event)

    @asynccontextmanager
    async def running(self) -> AsyncIterator[anyio.abc.TaskGroup]:
        """Run all daemons until the enclosed block ends."""
        async with anyio.create_task_group() as tg:
            for number in range(self.size):
                await self.add(f'vm-{number}', tg)
            self.ready.set()
            await anyio.sleep(_SETTLE_TIME_S)
            yield tg
            tg.cancel_scope.cancel()

    async def add(self, vm: str, tg: anyio.abc.TaskGroup) -> Node:
        """Start another daemon."""
        node = Node(vm=vm, mesh=self)
        self.nodes.append(node)
        await tg.start(node.run)
        self.members.append(node.local_member())
        return node

    def publish(self, snapshot: Snapshot) -> None:
        """Offer ``snapshot`` to each reader."""
        for node in self.nodes:
            if node.is_reading and node.is_log_healthy:
                node.holder.offer(snapshot)

    async def wait_for(self, version: Version) -> float:
        """Return the seconds until each daemon runs ``version`` or later."""
        started_at = time.perf_counter()
        for node in self.nodes:
            await _wait_for_one(node, version)
        return time.perf_counter() - started_at


async def _wait_for_one(node: Node, version: Version) -> None:
    while True:
        snapshot = node.holder.snapshot
        if snapshot is not None and snapshot.version >= version:
            return
        await anyio.sleep(_POLL_INTERVAL_S)
