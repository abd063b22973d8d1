"""Test that crash reports reach every daemon and that gossip then stops."""

import random
from collections.abc import AsyncIterator

import anyio
import attrs
import pytest

from goldcrestwharf.distribution import CrashReportGossip
from goldcrestwharf.limits import LimitSettings
from goldcrestwharf.membership import Member
from goldcrestwharf.peers import Handlers
from goldcrestwharf.quarantine import CrashGuard
from goldcrestwharf.timers import ManualTimers
from test.distribution.mesh import FakePeers, Network
from test.helper import SEED

CRASHING = 'k' * 32
ZONES = ('recife-a', 'recife-b', 'salvador-a')
COUNT = 12


@attrs.define(kw_only=True, eq=False)
class Daemon:
    """The crash guard of one daemon and its gossip."""

    vm: str
    zone: str
    network: Network
    seed: int
    alive: bool = True
    frozen: bool = False
    handlers: Handlers = attrs.field(factory=Handlers)
    killed: anyio.Event = attrs.field(factory=anyio.Event)
    guard: CrashGuard = attrs.field(init=False)
    gossip: CrashReportGossip = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        rng = random.Random(self.seed)
        self.guard = CrashGuard(
            cfg=LimitSettings(),
            clock=self.network.timers.now,
            rng=rng,
        )
        self.gossip = CrashReportGossip(
            guard=self.guard,
            view=self,
            peers=FakePeers(local=self.vm, network=self.network),
            timers=self.network.timers,
            rng=rng,
        )
        self.gossip.register(self.handlers)

    def local_member(self) -> Member:
        return Member(
            vm=self.vm,
            zone=self.zone,
            address=self.vm,
            incarnation=1,
        )

    def members(self, _zone: str | None = None) -> list[Member]:
        return [node.local_member() for node in self.network.nodes.values()]

    def targets(self, _group: str) -> list[tuple[Member, object]]:
        return []

    def refuses(self) -> bool:
        return self.guard.find_wait(CRASHING) > 0


@attrs.define(kw_only=True, eq=False)
class Mesh:
    """The running daemons."""

    timers: ManualTimers
    network: Network
    daemons: list[Daemon]

    def refusing(self) -> int:
        return sum(daemon.refuses() for daemon in self.daemons)


@pytest.fixture
async def mesh() -> AsyncIterator[Mesh]:
    timers = ManualTimers()
    network = Network(timers=timers)
    for number in range(COUNT):
        daemon = Daemon(
            vm=f'vm-{number}',
            zone=ZONES[number % len(ZONES)],
            network=network,
            seed=SEED + number,
        )
        network.nodes[daemon.vm] = daemon
    daemons = list(network.nodes.values())
    async with anyio.create_task_group() as tg:
        for daemon in daemons:
            tg.start_soon(daemon.gossip.run)
        yield Mesh(timers=timers, network=network, daemons=daemons)
        tg.cancel_scope.cancel()


async def test_deaths_on_two_vms_quarantine_a_request_everywhere(
    mesh: Mesh,
) -> None:
    for daemon in mesh.daemons[:2]:
        daemon.guard.record_death([CRASHING])
    await mesh.timers.advance(15)
    assert mesh.refusing() == COUNT


async def test_lifting_on_one_daemon_lifts_everywhere(mesh: Mesh) -> None:
    for daemon in mesh.daemons[:2]:
        daemon.guard.record_death([CRASHING])
    await mesh.timers.advance(15)
    mesh.daemons[-1].guard.lift(CRASHING)
    await mesh.timers.advance(15)
    assert mesh.refusing() == 0


async def test_isolated_daemon_receives_reports_by_comparison(
    mesh: Mesh,
) -> None:
    isolated = mesh.daemons[5]
    for other in mesh.daemons:
        mesh.network.cuts.add(frozenset((isolated.vm, other.vm)))
    for daemon in mesh.daemons[:2]:
        daemon.guard.record_death([CRASHING])
    await mesh.timers.advance(15)
    assert not isolated.guard.table.find(CRASHING).deaths
    mesh.network.cuts.clear()
    await mesh.timers.advance(120)
    assert len(isolated.guard.table.find(CRASHING).deaths) == 2


async def test_gossip_stops_once_all_daemons_agree(mesh: Mesh) -> None:
    for daemon in mesh.daemons[:2]:
        daemon.guard.record_death([CRASHING])
    await mesh.timers.advance(30)
    mesh.network.calls.clear()
    await mesh.timers.advance(20)
    comparisons = COUNT * 2
    assert len(mesh.network.calls) <= comparisons
