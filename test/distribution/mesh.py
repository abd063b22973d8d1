"""Simulate the distribution between several daemons on a fake network."""

import random

import anyio
import attrs

from goldcrestwharf.distribution import Distribution, DistributionSettings
from goldcrestwharf.errors import NotSentError, OutcomeUnknownError
from goldcrestwharf.membership import Member
from goldcrestwharf.objects import (
    ObjectSet,
    Route,
    Service,
    TargetGroup,
    digest_of,
)
from goldcrestwharf.peers import Handlers
from goldcrestwharf.replay import Snapshot, SnapshotHolder, Version
from goldcrestwharf.timers import ManualTimers
from goldcrestwharf.wire import decode, encode
from test.helper import SEED


def make_objects(services: int = 1, *, timeout_ms: int = 2000) -> ObjectSet:
    """Return a set with a group, a service and a route for each number."""
    numbers = range(services)
    return ObjectSet(
        target_groups={f'pool-{number}': TargetGroup() for number in numbers},
        services={
            f'service-{number}': Service(
                target_group=f'pool-{number}',
                timeout_ms=timeout_ms if number == 0 else 2000,
            )
            for number in numbers
        },
        routes={
            f'route-{number}': Route(
                service=f'service-{number}',
                path_prefix=f'/{number}',
            )
            for number in numbers
        },
    )


def make_snapshot(offset: int, *, services: int = 1) -> Snapshot:
    """Return an accepted snapshot whose content depends on ``offset``."""
    objects = make_objects(services, timeout_ms=1000 + offset)
    return Snapshot(
        version=Version(1, offset),
        digest=digest_of(objects),
        objects=objects,
    )


@attrs.define(kw_only=True, eq=False)
class Network:
    """A fake network with cut links and a count of the bytes sent."""

    timers: ManualTimers
    nodes: 'dict[str, Node]' = attrs.field(factory=dict)
    cuts: set[frozenset[str]] = attrs.field(factory=set)
    sent_bytes: int = 0
    calls: list[tuple[str, str, object]] = attrs.field(factory=list)

    def can_pass(self, one: str, other: str) -> bool:
        return frozenset((one, other)) not in self.cuts

    def cut_zones(self, one: str, other: str) -> None:
        for first in self.nodes.values():
            for second in self.nodes.values():
                if {first.zone, second.zone} == {one, other}:
                    self.cuts.add(frozenset((first.vm, second.vm)))


@attrs.define(kw_only=True, eq=False)
class FakePeers:
    """The connections of one daemon to the others."""

    local: str
    network: Network

    async def call(
        self,
        address: str,
        body: object,
        *,
        timeout: float,
    ) -> object:
        node = self.network.nodes.get(address)
        if node is None or not node.alive:
            raise NotSentError(reason='nobody listens', remedy='wait')
        if not self.network.can_pass(self.local, address):
            raise NotSentError(reason='cut', remedy='wait')
        self.network.calls.append((self.local, address, body))
        return await self._exchange(node, body, timeout)

    async def send(self, address: str, body: object) -> None:
        await self.call(address, body, timeout=1)

    async def _exchange(
        self,
        node: 'Node',
        body: object,
        timeout: float,
    ) -> object:
        answers: list[object] = []
        packed = encode(body)
        self.network.sent_bytes += len(packed)

        async def respond() -> None:
            handler = node.handlers.find(type(body))
            assert handler is not None
            if node.frozen:
                await anyio.sleep_forever()
            answers.append(await handler(decode(packed), None))
            tg.cancel_scope.cancel()

        async def watch() -> None:
            await node.killed.wait()
            tg.cancel_scope.cancel()

        with self.network.timers.limit(timeout):
            async with anyio.create_task_group() as tg:
                tg.start_soon(respond)
                tg.start_soon(watch)
        if not answers:
            raise OutcomeUnknownError(reason='no answer', remedy='wait')
        if answers[0] is None:
            # The message was one-way.
            return None
        reply = encode(answers[0])
        self.network.sent_bytes += len(reply)
        return decode(reply)


@attrs.define(kw_only=True, eq=False)
class Node:
    """One daemon's distribution; its VM's name is its address."""

    vm: str
    zone: str
    network: Network
    cfg: DistributionSettings
    seed: int
    log_healthy: bool = True
    alive: bool = True
    frozen: bool = False
    reading: bool = False
    history: list[Version] = attrs.field(factory=list)
    holder: SnapshotHolder = attrs.field(factory=SnapshotHolder)
    handlers: Handlers = attrs.field(factory=Handlers)
    killed: anyio.Event = attrs.field(factory=anyio.Event)
    distribution: Distribution = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.distribution = Distribution(
            holder=self.holder,
            view=self,
            peers=FakePeers(local=self.vm, network=self.network),
            timers=self.network.timers,
            rng=random.Random(self.seed),
            cfg=self.cfg,
            is_log_healthy=lambda: self.log_healthy,
        )
        self.distribution.register(self.handlers)

    async def run(self) -> None:
        async with anyio.create_task_group() as tg:
            tg.start_soon(self.distribution.run, self._follow_log)
            tg.start_soon(self._record_versions)
            await self.killed.wait()
            tg.cancel_scope.cancel()

    def kill(self) -> None:
        self.alive = False
        self.killed.set()

    def local_member(self) -> Member:
        return Member(
            vm=self.vm,
            zone=self.zone,
            address=self.vm,
            incarnation=1,
        )

    def members(self, zone: str | None = None) -> list[Member]:
        return [
            node.local_member()
            for node in self.network.nodes.values()
            if node.alive and zone in {None, node.zone}
        ]

    def targets(self, group: str) -> list[tuple[Member, object]]:
        return []

    async def _follow_log(self) -> None:
        self.reading = True
        try:
            await anyio.sleep_forever()
        finally:
            self.reading = False

    async def _record_versions(self) -> None:
        version: Version | None = None
        while True:
            snapshot = await self.holder.wait_newer(version)
            version = snapshot.version
            self.history.append(version)


class Mesh:
    """The daemons of one or more zones."""

    def __init__(
        self,
        zones: dict[str, int],
        *,
        cfg: DistributionSettings | None = None,
    ) -> None:
        self.timers = ManualTimers()
        self.network = Network(timers=self.timers)
        self.cfg = cfg or DistributionSettings(fan_out=4)
        for zone, size in zones.items():
            for number in range(size):
                self.add(f'{zone}-{number}', zone)
        self.tg = anyio.create_task_group()

    def add(self, vm: str, zone: str) -> Node:
        node = Node(
            vm=vm,
            zone=zone,
            network=self.network,
            cfg=self.cfg,
            seed=SEED + len(self.network.nodes),
        )
        self.network.nodes[vm] = node
        return node

    @property
    def nodes(self) -> list[Node]:
        return list(self.network.nodes.values())

    def readers(self, zone: str | None = None) -> list[Node]:
        return [
            node
            for node in self.nodes
            if node.reading and zone in {None, node.zone}
        ]

    def publish(self, snapshot: Snapshot) -> None:
        """Offer ``snapshot`` to each reader whose log answers."""
        for node in self.readers():
            if node.log_healthy:
                node.holder.offer(snapshot)

    def versions(self) -> set[int | None]:
        return {
            node.holder.snapshot and node.holder.snapshot.version.offset
            for node in self.nodes
            if node.alive
        }

    async def __aenter__(self) -> 'Mesh':
        await self.tg.__aenter__()
        for node in self.nodes:
            self.tg.start_soon(node.run)
        await self.timers.advance(1)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        self.tg.cancel_scope.cancel()
        await self.tg.__aexit__(None, None, None)
        for node in self.nodes:
            assert node.history == sorted(set(node.history)), node.vm
