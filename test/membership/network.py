"""Simulate the network between daemons under test, with faults."""

import random
from collections.abc import Sequence

import anyio
import attrs
from anyio.abc import TaskGroup

from goldcrestwharf.errors import NotSentError, OutcomeUnknownError
from goldcrestwharf.membership import (
    Datagram,
    MembershipContext,
    MembershipService,
    MembershipSettings,
    StaticSeeds,
)
from goldcrestwharf.peers import Credentials, Handlers, Identity
from goldcrestwharf.timers import Timers
from goldcrestwharf.wire import decode, encode
from test.helper import CLUSTER_KEY, SEED


@attrs.define(kw_only=True)
class Faults:
    """Faults of the network; ``loss`` and ``duplicates`` are from 0 to 1.

    ``delay`` and its random part ``spread`` are in seconds.
    """

    loss: float = 0
    duplicates: float = 0
    delay: float = 0.001
    spread: float = 0
    cuts: set[tuple[str, str]] = attrs.field(factory=set)


class Gate:
    """Simulated SIGSTOP and SIGCONT of one process."""

    def __init__(self) -> None:
        self._open = anyio.Event()
        self._open.set()

    def freeze(self) -> None:
        self._open = anyio.Event()

    def thaw(self) -> None:
        self._open.set()

    async def pass_through(self) -> None:
        await self._open.wait()


class GatedTimers:
    """Timers that wake no task while the process is stopped."""

    def __init__(self, timers: Timers, gate: Gate) -> None:
        self._timers = timers
        self._gate = gate
        self.limit = timers.limit
        self.now = timers.now

    async def sleep(self, seconds: float) -> None:
        await self._timers.sleep(seconds)
        await self._gate.pass_through()


@attrs.define(kw_only=True, eq=False)
class Host:
    """Endpoint of one address, with the datagrams that arrived."""

    handlers: Handlers = attrs.field(factory=Handlers)
    gate: Gate = attrs.field(factory=Gate)
    inbox: list[Datagram] = attrs.field(factory=list)
    arrived: anyio.Event = attrs.field(factory=anyio.Event)

    def put(self, datagram: Datagram) -> None:
        self.inbox.append(datagram)
        self.arrived.set()

    async def take(self) -> Datagram:
        while not self.inbox:
            self.arrived = anyio.Event()
            await self.arrived.wait()
        await self.gate.pass_through()
        return self.inbox.pop(0)


@attrs.define(kw_only=True)
class Traffic:
    datagrams: int = 0
    datagram_bytes: int = 0
    stream_bytes: int = 0
    largest: int = 0


class FakeNetwork:
    """Simulated network between the addresses of one test."""

    def __init__(self, *, timers: Timers, tg: TaskGroup) -> None:
        self.faults = Faults()
        self.timers = timers
        self.tg = tg
        self.hosts: dict[str, Host] = {}
        self.traffic = Traffic()
        self._rng = random.Random(SEED)

    def cut(self, one: Sequence[str], other: Sequence[str]) -> None:
        """Cut both ways between two groups of addresses."""
        for left in one:
            for right in other:
                self.faults.cuts |= {(left, right), (right, left)}

    def heal(self) -> None:
        self.faults.cuts.clear()

    def send(self, packed: bytes, source: str, target: str) -> None:
        self.traffic.datagrams += 1
        self.traffic.datagram_bytes += len(packed)
        self.traffic.largest = max(self.traffic.largest, len(packed))
        if (source, target) in self.faults.cuts:
            return
        copies = 2 if self._rng.random() < self.faults.duplicates else 1
        for _ in range(copies):
            if self._rng.random() >= self.faults.loss:
                self.tg.start_soon(self._deliver, packed, source, target)

    async def _deliver(self, packed: bytes, source: str, target: str) -> None:
        delay = self.faults.delay + self._rng.random() * self.faults.spread
        await self.timers.sleep(delay)
        host = self.hosts.get(target)
        if host is not None:
            host.put(Datagram(packed=packed, address=source))


class FakeDatagrams:
    def __init__(self, network: FakeNetwork, address: str) -> None:
        self._network = network
        self._address = address
        self._host = network.hosts[address]

    async def send(self, packed: bytes, address: str) -> None:
        await self._host.gate.pass_through()
        self._network.send(packed, self._address, address)

    async def receive(self) -> Datagram:
        return await self._host.take()


class FakePeers:
    def __init__(self, network: FakeNetwork, address: str) -> None:
        self._network = network
        self._address = address
        self._host = network.hosts[address]

    async def call(
        self,
        address: str,
        body: object,
        *,
        timeout: float,
    ) -> object:
        network = self._network
        await self._host.gate.pass_through()
        ways = {(self._address, address), (address, self._address)}
        if ways & network.faults.cuts:
            await network.timers.sleep(timeout)
            raise OutcomeUnknownError(reason='cut', remedy='heal')
        if address not in network.hosts:
            raise NotSentError(reason='no listener', remedy='start it')
        await network.timers.sleep(network.faults.delay * 2)
        with network.timers.limit(timeout) as scope:
            await network.hosts[address].gate.pass_through()
        if scope.cancelled_caught:
            raise OutcomeUnknownError(reason='frozen', remedy='thaw')
        return await self._answer(network.hosts[address], encode(body))

    async def send(self, address: str, body: object) -> None:
        raise NotImplementedError

    async def _answer(self, host: Host, packed: bytes) -> object:
        body = decode(packed)
        handler = host.handlers.find(type(body))
        assert handler is not None
        reply = encode(await handler(body, None))  # type: ignore
        self._network.traffic.stream_bytes += len(packed) + len(reply)
        return decode(reply)


class Daemon:
    """Membership of one daemon on a fake network."""

    def __init__(
        self,
        network: FakeNetwork,
        vm: str,
        *,
        zone: str = 'recife-a',
        address: str = '',
        seeds: Sequence[str] = (),
        incarnation: int = 1000,
        cfg: MembershipSettings | None = None,
    ) -> None:
        self.network = network
        self.vm = vm
        self.address = address or f'{vm}:1'
        host = Host()
        network.hosts[self.address] = host
        self.gate = host.gate
        identity = Identity(vm=vm, zone=zone, address=self.address)
        self.service = MembershipService(
            context=MembershipContext(
                credentials=Credentials(
                    cluster='test',
                    key=CLUSTER_KEY,
                    identity=identity,
                ),
                incarnation=incarnation,
                timers=GatedTimers(network.timers, self.gate),
                rng=random.Random(f'{SEED} {vm} {incarnation}'),
                cfg=cfg or MembershipSettings(),
            ),
            datagrams=FakeDatagrams(network, self.address),
            peers=FakePeers(network, self.address),
            seeds=StaticSeeds(addresses=seeds),
        )
        self.service.register(host.handlers)
        self.view = self.service.view
        self._scope = anyio.CancelScope()

    def start(self) -> None:
        self.network.tg.start_soon(self._run)

    def kill(self) -> None:
        """End the process at once, without leaving."""
        self._scope.cancel()
        self.network.hosts.pop(self.address, None)

    def states(self) -> dict[str, str]:
        """Return the state of each member that this daemon stores."""
        core = self.service._core
        records = core.membership.state.table.records()
        return {one.vm: str(one.state) for one in records}

    def alive(self) -> set[str]:
        return {vm for vm, state in self.states().items() if state == 'alive'}

    async def _run(self) -> None:
        with self._scope:
            await self.service.run()


def start_daemons(
    network: FakeNetwork,
    count: int,
    *,
    zone: str = 'recife-a',
    cfg: MembershipSettings | None = None,
    seeds: Sequence[str] = (),
) -> list[Daemon]:
    """Start daemons that join through the first one."""
    names = [f'{zone}-{number}' for number in range(count)]
    found = tuple(seeds) or (f'{names[0]}:1',)
    daemons = [
        Daemon(network, name, zone=zone, seeds=found, cfg=cfg) for name in names
    ]
    for daemon in daemons:
        daemon.start()
    return daemons
