"""Measure how fast a zone hears of changes and what that costs.

Daemons run in one process on a simulated network and clock, so times are
exact and the processor time includes the simulation's own share.
"""

import json
import logging

import anyio
import attrs

from bench.membership_zone import (
    IDLE_S,
    Cost,
    Zone,
    measure_idle,
    preload,
)
from goldcrestwharf.membership import Target
from test.membership.network import FakeNetwork, start_daemons
from test.membership.stepped import SteppedTimers

_SIZES = (25, 50, 100, 200)
_DEATHS = 2
_OUT_OF_WORK = frozenset(('suspect', 'dead'))
_DEAD = frozenset(('dead',))


@attrs.frozen(kw_only=True)
class Death:
    """Give the seconds from a kill until all others knew of it."""

    out_of_work_s: float
    dead_s: float


@attrs.frozen(kw_only=True)
class Figures:
    """Give the figures of one size; times are in seconds."""

    bench: str = 'membership'
    size: int
    idle: Cost
    spread_s: float
    churning: Cost
    deaths: list[Death]


async def measure_spread(zone: Zone) -> float:
    """Return the seconds until all find a target that was announced."""
    target = Target(name='a', group='spread', address='a:1', slots=1)
    zone.daemons[0].service.set_targets([target])
    return await zone.wait_for_target('spread')


async def measure_churn(zone: Zone) -> Cost:
    """Return the same as idle while one target changes in each second."""
    zone.network.tg.start_soon(churn, zone)
    return await measure_idle(zone)


async def churn(zone: Zone) -> None:
    """Change one target in each second."""
    for second in range(IDLE_S):
        target = Target(
            name='a',
            group='churn',
            address='a:1',
            slots=second + 1,
        )
        zone.daemons[second].service.set_targets([target])
        await zone.timers.sleep(1)


async def measure_deaths(zone: Zone) -> list[Death]:
    """Return how long it took until all knew of some kills."""
    deaths: list[Death] = []
    for _ in range(_DEATHS):
        victim = zone.daemons.pop()
        victim.kill()
        out = await zone.wait_until_all(victim.vm, _OUT_OF_WORK)
        dead = await zone.wait_until_all(victim.vm, _DEAD)
        deaths.append(
            Death(out_of_work_s=round(out, 1), dead_s=round(out + dead, 1)),
        )
    return deaths


async def measure(size: int) -> None:
    """Print the figures of a zone with ``size`` daemons."""
    async with anyio.create_task_group() as tg:
        network = FakeNetwork(timers=SteppedTimers(), tg=tg)
        daemons = start_daemons(network, size)
        zone = Zone(network=network, timers=network.timers, daemons=daemons)
        figures = await measure_zone(zone)
        print(json.dumps(attrs.asdict(figures)), flush=True)
        tg.cancel_scope.cancel()


async def measure_zone(zone: Zone) -> Figures:
    """Return the figures of ``zone``."""
    size = len(zone.daemons)
    preload(zone.daemons)
    await zone.timers.advance(3)
    return Figures(
        size=size,
        idle=await measure_idle(zone),
        spread_s=round(await measure_spread(zone), 1),
        churning=await measure_churn(zone),
        deaths=await measure_deaths(zone),
    )


def main() -> None:
    """Print one line for each size."""
    logging.disable(logging.CRITICAL)
    for size in _SIZES:
        anyio.run(measure, size)


if __name__ == '__main__':
    main()
