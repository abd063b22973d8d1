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


class LocalTargetsFixture:
    def __init__(self) -> None:
        self.timers = ManualTimers()
        self.gate = Gate()
        self.published: list[tuple[Target, ...]] = []
        self.local = LocalTargets(
            cfg=EndpointSettings(lease_ms=5000),
            timers=GatedTimers(self.timers, self.gate),
            publish=lambda targets: self.published.append(tuple(targets)),
        )


async def test_target_is_removed_when_lease_expires() -> None:
    fixture = LocalTargetsFixture()
    async with anyio.create_task_group() as tg:
        tg.start_soon(fixture.local.run)
        fixture.local.announce(MENU)
        await fixture.timers.advance(4.9)
        assert fixture.local.is_open('menu')
        await fixture.timers.advance(0.2)
        assert not fixture.local.is_open('menu')
        await fixture.timers.advance(0.6)
        assert fixture.published[-1] == ()
        fixture.local.announce(MENU)
        assert fixture.local.is_open('menu')
        tg.cancel_scope.cancel()


async def test_unchanged_renewal_extends_lease_without_publishing() -> None:
    fixture = LocalTargetsFixture()
    async with anyio.create_task_group() as tg:
        tg.start_soon(fixture.local.run)
        for _ in range(10):
            fixture.local.announce(MENU)
            await fixture.timers.advance(2)
        assert fixture.local.is_open('menu')
        assert len(fixture.published) == 1
        fixture.local.announce(attrs.evolve(MENU, slots=6))
        assert [one.slots for one in fixture.published[-1]] == [6]
        tg.cancel_scope.cancel()


async def test_leases_are_extended_after_daemon_pause() -> None:
    fixture = LocalTargetsFixture()
    async with anyio.create_task_group() as tg:
        tg.start_soon(fixture.local.run)
        fixture.local.announce(MENU)
        await fixture.timers.advance(2)
        fixture.gate.freeze()
        await fixture.timers.advance(60)
        fixture.gate.thaw()
        await fixture.timers.advance(0.1)
        assert fixture.local.is_open('menu')
        await fixture.timers.advance(6)
        assert not fixture.local.is_open('menu')
        assert len(fixture.published) == 2
        tg.cancel_scope.cancel()
