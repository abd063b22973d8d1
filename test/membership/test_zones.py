"""Test zones that lose their connection and many daemons that join."""

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

REMOTE_ZONE = 'fortaleza-a'


def list_addresses(daemons: list[Daemon]) -> list[str]:
    return [one.address for one in daemons]


def find_vms(daemon: Daemon) -> set[str]:
    return {member.vm for member, _ in daemon.view.targets('pool')}


def make_target(name: str = 'a') -> Target:
    return Target(name=name, group='pool', address='a:1', slots=1)


@attrs.frozen(kw_only=True)
class Zones:
    """Two zones that know each other; ``remote[0]`` has a target."""

    network: FakeNetwork
    timers: SteppedTimers
    local: list[Daemon]
    remote: list[Daemon]

    async def cut(self) -> None:
        self.network.cut(
            list_addresses(self.local), list_addresses(self.remote)
        )
        await self.timers.advance(30)


@asynccontextmanager
async def make_zones() -> AsyncIterator[Zones]:
    timers = SteppedTimers()
    async with anyio.create_task_group() as tg:
        network = FakeNetwork(timers=timers, tg=tg)
        local = start_daemons(network, 4)
        seeds = (local[0].address,)
        remote = start_daemons(network, 4, zone=REMOTE_ZONE, seeds=seeds)
        remote[0].service.set_targets([make_target()])
        await timers.advance(8)
        assert all(find_vms(one) == {remote[0].vm} for one in local)
        yield Zones(network=network, timers=timers, local=local, remote=remote)
        tg.cancel_scope.cancel()


async def test_unreachable_zone_is_stale_and_keeps_its_targets() -> None:
    async with make_zones() as zones:
        await zones.cut()
        for one in zones.local:
            assert one.view.stale_zones() == {REMOTE_ZONE}
            assert find_vms(one) == {zones.remote[0].vm}
            assert set(one.states().values()) == {'alive'}


async def test_zone_that_is_reachable_again_brings_its_changes() -> None:
    async with make_zones() as zones:
        await zones.cut()
        zones.remote[1].service.set_targets([make_target()])
        zones.remote[2].kill()
        await zones.timers.advance(30)
        zones.network.heal()
        await zones.timers.advance(10)
        for one in zones.local:
            assert not one.view.stale_zones()
            assert find_vms(one) == {one.vm for one in zones.remote[:2]}
            assert one.states()[zones.remote[2].vm] == 'dead'


async def test_zone_that_lost_all_its_daemons_is_kept() -> None:
    async with make_zones() as zones:
        for one in zones.remote:
            one.kill()
        await zones.timers.advance(30)
        for one in zones.local:
            assert one.view.stale_zones() == {REMOTE_ZONE}
            assert find_vms(one) == {zones.remote[0].vm}


@pytest.mark.parametrize('count', [10, 40])
async def test_many_daemons_can_join_at_once(count: int) -> None:
    cfg = MembershipSettings(sync_records=5, sync_records_per_s=20)
    timers = SteppedTimers()
    async with anyio.create_task_group() as tg:
        network = FakeNetwork(timers=timers, tg=tg)
        daemons = start_daemons(network, count, cfg=cfg)
        await timers.advance(40)
        assert {len(one.alive()) for one in daemons} == {count}
        tg.cancel_scope.cancel()


async def test_restarted_daemon_gets_its_version_floor_from_witnesses() -> None:
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


async def test_record_too_large_for_a_datagram_is_fetched() -> None:
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


async def test_dead_member_is_evicted_after_tombstone_ms() -> None:
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


async def test_one_comparison_brings_all_records_in_several_messages() -> None:
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


async def test_version_report_reaches_witnesses_of_a_large_zone_at_once() -> (
    None
):
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


async def test_daemons_that_declared_each_other_dead_join_again() -> None:
    timers = SteppedTimers()
    async with anyio.create_task_group() as tg:
        network = FakeNetwork(timers=timers, tg=tg)
        daemons = start_daemons(network, 2)
        await timers.advance(5)
        no_seeds = StaticSeeds(addresses=())
        for one in daemons:
            one.service._tasks.joiner._seeds = no_seeds
        network.cut([daemons[0].address], [daemons[1].address])
        await timers.advance(30)
        assert [len(one.alive()) for one in daemons] == [1, 1]
        network.heal()
        await timers.advance(60)
        assert [len(one.alive()) for one in daemons] == [2, 2]
        tg.cancel_scope.cancel()


async def test_paused_daemon_declares_no_member_dead_for_its_pause() -> None:
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
        state = core.membership.state
        assert state.health.factor() == 9
        assert 'dead' not in stopped.states().values()
        tg.cancel_scope.cancel()
