"""Test how members see a daemon that has a fault."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import anyio
import attrs
import pytest

from goldcrestwharf.membership import Target
from test.membership.network import Daemon, FakeNetwork, start_daemons
from test.membership.stepped import SteppedTimers

COUNT = 8


@attrs.frozen(kw_only=True)
class Zone:
    """Zone in which all members know each other; the victim has a target."""

    network: FakeNetwork
    timers: SteppedTimers
    daemons: list[Daemon]

    @property
    def victim(self) -> Daemon:
        return self.daemons[-1]

    @property
    def others(self) -> list[Daemon]:
        return self.daemons[:-1]

    def states(self) -> set[str]:
        """Return the states of the victim as the others see it."""
        return {one.states()[self.victim.vm] for one in self.others}

    def finders(self) -> int:
        """Return how many others list the victim's target."""
        found = [
            member.vm
            for one in self.others
            for member, _ in one.view.targets('pool')
        ]
        return found.count(self.victim.vm)

    def addresses(self) -> list[str]:
        return [one.address for one in self.others]


@asynccontextmanager
async def make_zone(count: int = COUNT) -> AsyncIterator[Zone]:
    timers = SteppedTimers()
    async with anyio.create_task_group() as tg:
        network = FakeNetwork(timers=timers, tg=tg)
        daemons = start_daemons(network, count)
        zone = Zone(network=network, timers=timers, daemons=daemons)
        target = Target(name='a', group='pool', address='a:1', slots=1)
        for one in (zone.victim, zone.daemons[0]):
            one.service.set_targets([target])
        await timers.advance(6)
        assert zone.finders() == count - 1
        yield zone
        tg.cancel_scope.cancel()


def kill(zone: Zone) -> None:
    zone.victim.kill()


def freeze(zone: Zone) -> None:
    zone.victim.gate.freeze()


def cut_both_ways(zone: Zone) -> None:
    zone.network.cut([zone.victim.address], zone.addresses())


def cut_from_victim(zone: Zone) -> None:
    ways = {(zone.victim.address, one) for one in zone.addresses()}
    zone.network.faults.cuts |= ways


def cut_towards_victim(zone: Zone) -> None:
    ways = {(one, zone.victim.address) for one in zone.addresses()}
    zone.network.faults.cuts |= ways


LOSSES = (kill, freeze, cut_both_ways, cut_from_victim, cut_towards_victim)


@pytest.mark.parametrize('fault', LOSSES)
async def test_lost_daemon_gets_no_requests_and_becomes_dead(
    fault: Callable[[Zone], None],
) -> None:
    async with make_zone() as zone:
        fault(zone)
        await zone.timers.advance(5)
        assert zone.finders() == 0
        await zone.timers.advance(15)
        assert zone.states() == {'dead'}
        assert all(len(one.alive()) == COUNT - 1 for one in zone.others)


@pytest.mark.parametrize('seconds', [3, 60])
@pytest.mark.parametrize('fault', LOSSES[1:])
async def test_returning_daemon_is_alive_and_declared_no_member_dead(
    fault: Callable[[Zone], None],
    seconds: float,
) -> None:
    async with make_zone() as zone:
        fault(zone)
        await zone.timers.advance(seconds)
        zone.network.heal()
        zone.victim.gate.thaw()
        for _ in range(30):
            await zone.timers.advance(1)
            assert 'dead' not in zone.victim.states().values()
        assert zone.states() == {'alive'}
        assert zone.finders() == COUNT - 1
        assert all(len(one.alive()) == COUNT for one in zone.daemons)


@pytest.mark.parametrize('fault', [cut_both_ways, cut_towards_victim])
async def test_cut_off_daemon_keeps_its_records(
    fault: Callable[[Zone], None],
) -> None:
    async with make_zone() as zone:
        target = Target(name='b', group='far', address='b:1', slots=1)
        zone.daemons[0].service.set_targets([target])
        await zone.timers.advance(3)
        fault(zone)
        await zone.timers.advance(120)
        assert zone.victim.view.fleet().is_cut_off
        assert len(zone.victim.view.targets('far')) == 1
        assert 'dead' not in zone.victim.states().values()


@pytest.mark.parametrize(
    'faults',
    [
        {'loss': 0.05},
        {'duplicates': 0.5},
        {'delay': 0.05},
        {'spread': 0.2},
        {'loss': 0.02, 'duplicates': 0.3, 'spread': 0.1},
    ],
)
async def test_no_member_is_declared_dead_on_a_lossy_network(
    faults: dict[str, float],
) -> None:
    async with make_zone() as zone:
        for name, share in faults.items():
            setattr(zone.network.faults, name, share)
        for _ in range(60):
            await zone.timers.advance(1)
            for one in zone.daemons:
                assert 'dead' not in one.states().values()


@pytest.mark.parametrize(
    ('wait', 'incarnation'),
    [(0.5, 2000), (40, 2000), (0.5, 1000), (40, 1000), (0.5, 1), (40, 1)],
)
async def test_restart_on_the_same_address_is_detected_at_once(
    wait: float,
    incarnation: int,
) -> None:
    async with make_zone() as zone:
        zone.victim.kill()
        await zone.timers.advance(wait)
        again = Daemon(
            zone.network,
            zone.victim.vm,
            seeds=(zone.daemons[0].address,),
            incarnation=incarnation,
        )
        again.start()
        await zone.timers.advance(5)
        assert zone.states() == {'alive'}
        assert zone.finders() == 0
        assert again.view.local_member().incarnation > 1000


async def test_new_vm_on_the_same_address_does_not_answer_for_the_old_one() -> (
    None
):
    async with make_zone() as zone:
        zone.victim.kill()
        successor = Daemon(
            zone.network,
            'new-vm',
            address=zone.victim.address,
            seeds=(zone.daemons[0].address,),
        )
        successor.start()
        await zone.timers.advance(20)
        assert zone.states() == {'dead'}
        assert all('new-vm' in one.alive() for one in zone.others)


async def test_leaving_daemon_is_leaving_and_then_dead() -> None:
    async with make_zone() as zone:
        await zone.victim.service.leave()
        await zone.timers.advance(2)
        assert zone.states() == {'leaving'}
        assert zone.finders() == 0
        roles = zone.daemons[0].service.roles
        holders = roles.holders('any', 'recife-a', COUNT)
        assert zone.victim.vm not in {one.vm for one in holders}
        await zone.victim.service.depart()
        zone.victim.kill()
        await zone.timers.advance(2)
        assert zone.states() == {'dead'}


async def test_each_half_of_a_split_zone_keeps_the_other() -> None:
    async with make_zone() as zone:
        left = [one.address for one in zone.daemons[:4]]
        right = [one.address for one in zone.daemons[4:]]
        zone.network.cut(left, right)
        await zone.timers.advance(90)
        for one in zone.daemons:
            assert one.view.fleet().is_cut_off
            assert 'dead' not in one.states().values()
        assert zone.finders() == COUNT - 1
        zone.network.heal()
        await zone.timers.advance(30)
        for one in zone.daemons:
            assert len(one.alive()) == COUNT
            assert not one.view.fleet().is_cut_off
