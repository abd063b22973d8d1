from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio

from goldcrestwharf.membership import (
    Target,
)
from test.membership.network import FakeNetwork, start_daemons
from test.membership.stepped import SteppedTimers


@asynccontextmanager
async def make_network() -> AsyncIterator[tuple[FakeNetwork, SteppedTimers]]:
    timers = SteppedTimers()
    async with anyio.create_task_group() as tg:
        yield FakeNetwork(timers=timers, tg=tg), timers
        tg.cancel_scope.cancel()


def make_target(name: str = 'menu', group: str = 'menu-pool') -> Target:
    return Target(name=name, group=group, address='10.0.0.1:80', slots=12)


async def test_daemons_of_two_zones_find_each_other_and_their_targets() -> None:
    async with make_network() as (network, timers):
        local = start_daemons(network, 3)
        remote = start_daemons(
            network,
            3,
            zone='fortaleza-a',
            seeds=(local[0].address,),
        )
        await timers.advance(5)
        local[1].service.set_targets([make_target()])
        await timers.advance(5)
        for daemon in (*local, *remote):
            assert len(daemon.alive()) == 6
            found = daemon.view.targets('menu-pool')
            assert [member.vm for member, _ in found] == [local[1].vm]


async def test_a_killed_daemon_is_dead_everywhere() -> None:
    async with make_network() as (network, timers):
        daemons = start_daemons(network, 8)
        await timers.advance(5)
        daemons[3].service.set_targets([make_target()])
        await timers.advance(3)
        daemons[3].kill()
        rest = [one for one in daemons if one is not daemons[3]]
        await timers.advance(15)
        for daemon in rest:
            assert daemon.states()[daemons[3].vm] == 'dead'
            assert not daemon.view.targets('menu-pool')
