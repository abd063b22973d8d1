import anyio
import attrs

from goldcrestwharf.endpoints import (
    Announcement,
    EndpointSettings,
    LocalTargets,
)
from goldcrestwharf.membership import Target
from goldcrestwharf.timers import ManualTimers
from test.membership.network import Gate, GatedTimers

MENU = Announcement(
    name='menu',
    group='menu-pool',
    address='10.0.0.1:80',
    slots=12,
)


class Stand:
    def __init__(self) -> None:
        self.timers = ManualTimers()
        self.gate = Gate()
        self.published: list[tuple[Target, ...]] = []
        self.local = LocalTargets(
            cfg=EndpointSettings(lease_ms=5000),
            timers=GatedTimers(self.timers, self.gate),
            publish=lambda targets: self.published.append(tuple(targets)),
        )


async def test_a_lapsed_lease_takes_the_target_out() -> None:
    stand = Stand()
    async with anyio.create_task_group() as tg:
        tg.start_soon(stand.local.run)
        stand.local.announce(MENU)
        await stand.timers.advance(4.9)
        assert stand.local.is_open('menu')
        await stand.timers.advance(0.2)
        assert not stand.local.is_open('menu')
        await stand.timers.advance(0.6)
        assert stand.published[-1] == ()
        stand.local.announce(MENU)
        assert stand.local.is_open('menu')
        tg.cancel_scope.cancel()


async def test_renewals_keep_a_target_and_are_not_published_again() -> None:
    stand = Stand()
    async with anyio.create_task_group() as tg:
        tg.start_soon(stand.local.run)
        for _ in range(10):
            stand.local.announce(MENU)
            await stand.timers.advance(2)
        assert stand.local.is_open('menu')
        assert len(stand.published) == 1
        stand.local.announce(attrs.evolve(MENU, slots=6))
        assert [one.slots for one in stand.published[-1]] == [6]
        tg.cancel_scope.cancel()


async def test_a_daemon_that_was_stopped_keeps_the_leases() -> None:
    stand = Stand()
    async with anyio.create_task_group() as tg:
        tg.start_soon(stand.local.run)
        stand.local.announce(MENU)
        await stand.timers.advance(2)
        stand.gate.freeze()
        await stand.timers.advance(60)
        stand.gate.thaw()
        await stand.timers.advance(0.1)
        assert stand.local.is_open('menu')
        await stand.timers.advance(6)
        assert not stand.local.is_open('menu')
        assert len(stand.published) == 2
        tg.cancel_scope.cancel()
