"""Measure how fast changes spread in a zone, and at what cost.

The daemons run in one process on a simulated network and clock. Times are
therefore exact, and the processor time includes that of the simulation.
"""

import json
import logging

import anyio
import attrs

from bench.membership_zone import (
    IDLE_DURATION_S,
    Cost,
    Zone,
    measure_idle,
    preload,
)
from goldcrestwharf.membership import Target
from test.membership.network import FakeNetwork, start_daemons
from test.membership.stepped import SteppedTimers

_SIZES = (25, 50, 100, 200)
_DEATH_COUNT = 2
_SUSPECT_OR_DEAD = frozenset(('suspect', 'dead'))
_DEAD = frozenset(('dead',))


@attrs.frozen(kw_only=True)
class Death:
    """The seconds from a kill until all other daemons detected it."""

    out_of_work_s: float
    dead_s: float


@attrs.frozen(kw_only=True)
class Measurements:
    """The results of one size."""

    bench: str = 'membership'
    size: int
    idle: Cost
    spread_s: float
    churning: Cost
    deaths: list[Death]


async def measure_spread(zone: Zone) -> float:
    """Announce a target; return the seconds until all daemons know it."""
    target = Target(name='a', group='spread', address='a:1', slots=1)
    zone.daemons[0].service.set_targets([target])
    return await zone.wait_for_target('spread')


async def measure_churn(zone: Zone) -> Cost:
    """Return the cost while one target changes in each second."""
    zone.network.tg.start_soon(change_targets, zone)
    return await measure_idle(zone)


async def change_targets(zone: Zone) -> None:
    """Change one target in each second."""
    for second in range(IDLE_DURATION_S):
        target = Target(
            name='a',
            group='churn',
            address='a:1',
            slots=second + 1,
        )
        zone.daemons[second].service.set_targets([target])
        await zone.timers.sleep(1)


async def measure_deaths(zone: Zone) -> list[Death]:
    """Kill daemons and return how long their detection took."""
    deaths: list[Death] = []
    for _ in range(_DEATH_COUNT):
        killed = zone.daemons.pop()
        killed.kill()
        suspected_s = await zone.wait_until_all(killed.vm, _SUSPECT_OR_DEAD)
        dead = await zone.wait_until_all(killed.vm, _DEAD)
        deaths.append(
            Death(
                out_of_work_s=round(suspected_s, 1),
                dead_s=round(suspected_s + dead, 1),
            ),
        )
    return deaths


async def measure(size: int) -> None:
    """Print the results of a zone with ``size`` daemons."""
    async with anyio.create_task_group() as tg:
        network = FakeNetwork(timers=SteppedTimers(), tg=tg)
        daemons = start_daemons(network, size)
        zone = Zone(network=network, timers=network.timers, daemons=daemons)
        measurements = await measure_zone(zone)
        print(json.dumps(attrs.asdict(measurements)), flush=True)
        tg.cancel_scope.cancel()


async def measure_zone(zone: Zone) -> Measurements:
    """Return the results of ``zone``."""
    size = len(zone.daemons)
    preload(zone.daemons)
    await zone.timers.advance(3)
    return Measurements(
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
