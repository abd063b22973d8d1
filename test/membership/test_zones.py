"""Cut zones from one another, and let many daemons join at once."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import attrs
import pytest

from goldcrestwharf.membership import (
    MembershipSettings,
    StaticSeeds,
    Target,
)
from test.membership.network import Daemon, FakeNetwork, start_daemons
from test.membership.stepped import SteppedTimers

THERE = 'fortaleza-a'


def list_addresses(daemons: list[Daemon]) -> list[str]:
    return [one.address for one in daemons]


def find_vms(daemon: Daemon) -> set[str]:
    return {member.vm for member, _ in daemon.view.targets('pool')}


def make_target(name: str = 'a') -> Target:
    return Target(name=name, group='pool', address='a:1', slots=1)


@attrs.frozen(kw_only=True)
class Zones:
    """Hold two zones that know each other; ``there[0]`` has a target."""

    network: FakeNetwork
    timers: SteppedTimers
    here: list[Daemon]
    there: list[Daemon]

    async def cut(self) -> None:
        self.network.cut(list_addresses(self.here), list_addresses(self.there))
        await self.timers.advance(30)


@asynccontextmanager
async def make_zones() -> AsyncIterator[Zones]:
    timers = SteppedTimers()
    async with anyio.create_task_group() as tg:
        network = FakeNetwork(timers=timers, tg=tg)
        here = start_daemons(network, 4)
        seeds = (here[0].address,)
        there = start_daemons(network, 4, zone=THERE, seeds=seeds)
        there[0].service.set_targets([make_target()])
        await timers.advance(8)
        assert all(find_vms(one) == {there[0].vm} for one in here)
        yield Zones(network=network, timers=timers, here=here, there=there)
        tg.cancel_scope.cancel()


async def test_a_zone_that_is_cut_off_is_set_aside_with_its_targets() -> None:
    async with make_zones() as zones:
        await zones.cut()
        for one in zones.here:
            assert one.view.stale_zones() == {THERE}
            assert find_vms(one) == {zones.there[0].vm}
            assert set(one.states().values()) == {'alive'}


async def test_a_zone_comes_back_with_what_changed_meanwhile() -> None:
    async with make_zones() as zones:
        await zones.cut()
        zones.there[1].service.set_targets([make_target()])
        zones.there[2].kill()
        await zones.timers.advance(30)
        zones.network.heal()
        await zones.timers.advance(10)
        for one in zones.here:
            assert not one.view.stale_zones()
            assert find_vms(one) == {one.vm for one in zones.there[:2]}
            assert one.states()[zones.there[2].vm] == 'dead'


async def test_a_zone_that_loses_all_its_daemons_is_kept() -> None:
    async with make_zones() as zones:
        for one in zones.there:
            one.kill()
        await zones.timers.advance(30)
        for one in zones.here:
            assert one.view.stale_zones() == {THERE}
            assert find_vms(one) == {zones.there[0].vm}


@pytest.mark.parametrize('count', [10, 40])
async def test_a_herd_of_newcomers_is_absorbed(count: int) -> None:
    cfg = MembershipSettings(sync_records=5, sync_records_per_s=20)
    timers = SteppedTimers()
    async with anyio.create_task_group() as tg:
        network = FakeNetwork(timers=timers, tg=tg)
        daemons = start_daemons(network, count, cfg=cfg)
        await timers.advance(40)
        assert {len(one.alive()) for one in daemons} == {count}
        tg.cancel_scope.cancel()


async def test_witnesses_tell_a_restarted_daemon_what_it_has_run() -> None:
    timers = SteppedTimers()
    async with anyio.create_task_group() as tg:
        network = FakeNetwork(timers=timers, tg=tg)
        daemons = start_daemons(network, 8)
        await timers.advance(5)
        victim = daemons[-1]
        for version in ('1.7', '1.9', '1.10'):
            victim.service.set_running(version)
            await timers.advance(0.3)
        victim.kill()
        again = Daemon(
            network,
            victim.vm,
            seeds=(daemons[0].address,),
            incarnation=2000,
        )
        assert again.view.floor_for(victim.vm) == ''
        again.start()
        await timers.advance(1)
        assert again.service.joined.is_set()
        assert again.view.floor_for(victim.vm) == '1.10'
        tg.cancel_scope.cancel()


async def test_a_record_too_large_for_a_datagram_is_fetched() -> None:
    timers = SteppedTimers()
    async with anyio.create_task_group() as tg:
        network = FakeNetwork(timers=timers, tg=tg)
        daemons = start_daemons(network, 6)
        await timers.advance(5)
        targets = [make_target(f'target-{number}') for number in range(30)]
        daemons[0].service.set_targets(targets)
        await timers.advance(3)
        for one in daemons:
            assert len(one.view.targets('pool')) == 30
        tg.cancel_scope.cancel()


async def test_a_dead_member_is_forgotten_in_the_end() -> None:
    cfg = MembershipSettings(tombstone_ms=20_000)
    timers = SteppedTimers()
    async with anyio.create_task_group() as tg:
        network = FakeNetwork(timers=timers, tg=tg)
        daemons = start_daemons(network, 4, cfg=cfg)
        await timers.advance(5)
        daemons[3].kill()
        await timers.advance(15)
        assert all(one.states()[daemons[3].vm] == 'dead' for one in daemons[:3])
        await timers.advance(60)
        assert all(daemons[3].vm not in one.states() for one in daemons[:3])
        tg.cancel_scope.cancel()


async def test_one_comparison_brings_all_records_over_many_messages() -> None:
    cfg = MembershipSettings(sync_records=5, sync_ms=600_000)
    timers = SteppedTimers()
    async with anyio.create_task_group() as tg:
        network = FakeNetwork(timers=timers, tg=tg)
        daemons = start_daemons(network, 40, cfg=cfg)
        await timers.advance(40)
        newcomer = Daemon(network, 'newcomer', seeds=(daemons[0].address,))
        joiner = newcomer.service._tasks.joiner
        tg.start_soon(joiner._exchange.run, daemons[0].address)
        await timers.advance(2)
        assert len(newcomer.states()) == 41
        tg.cancel_scope.cancel()


async def test_witnesses_of_a_large_zone_hear_of_a_version_at_once() -> None:
    timers = SteppedTimers()
    async with anyio.create_task_group() as tg:
        network = FakeNetwork(timers=timers, tg=tg)
        daemons = start_daemons(network, 30)
        await timers.advance(10)
        daemons[5].service.set_running('1.7')
        await timers.advance(0.1)
        floors = [one.view.floor_for(daemons[5].vm) for one in daemons]
        assert floors.count('1.7') >= 4
        tg.cancel_scope.cancel()


async def test_two_daemons_that_hold_each_other_dead_meet_again() -> None:
    timers = SteppedTimers()
    async with anyio.create_task_group() as tg:
        network = FakeNetwork(timers=timers, tg=tg)
        daemons = start_daemons(network, 2)
        await timers.advance(5)
        nowhere = StaticSeeds(addresses=())
        for one in daemons:
            one.service._tasks.joiner._seeds = nowhere
        network.cut([daemons[0].address], [daemons[1].address])
        await timers.advance(30)
        assert [len(one.alive()) for one in daemons] == [1, 1]
        network.heal()
        await timers.advance(60)
        assert [len(one.alive()) for one in daemons] == [2, 2]
        tg.cancel_scope.cancel()


async def test_a_daemon_that_was_stopped_judges_nobody_by_that_time() -> None:
    timers = SteppedTimers()
    async with anyio.create_task_group() as tg:
        network = FakeNetwork(timers=timers, tg=tg)
        daemons = start_daemons(network, 8)
        await timers.advance(5)
        stopped = daemons[0]
        core = stopped.service._core
        core.membership.suspect(daemons[1].vm, timers.now(), is_spread=False)
        stopped.gate.freeze()
        await timers.advance(60)
        stopped.gate.thaw()
        await timers.advance(0.2)
        known = core.membership.known
        assert known.health.factor() == 9
        assert 'dead' not in stopped.states().values()
        tg.cancel_scope.cancel()
