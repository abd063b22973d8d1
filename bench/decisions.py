"""Compare the product's decisions with naive ones, in virtual time.

Prints one JSON line for each load and fault, with the median, the lowest and
the highest value over the seeds.
"""

import json
import random
import statistics
import sys
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from functools import partial

import anyio
import attrs

from bench.fleetmodel import (
    CAPACITY,
    DAEMONS_PER_ZONE,
    TIMEOUT_S,
    ZONES,
    Fleet,
    NaiveDaemon,
    ProductDaemon,
    Tally,
)
from bench.virtualtime import run_virtually
from goldcrestwharf.routing import RoutingSettings

_SEEDS = (1, 2, 3)
_WARM_UP_S = 1.5
_DURATION_S = 5
_FAULT_LOAD = 0.7
_DETECTION_DELAY_S = 2
_MAX_WORKERS = 3
_P99_FRACTION = 0.99
_SEED_STRIDE = 1000

Daemon = ProductDaemon | NaiveDaemon


@attrs.frozen(kw_only=True)
class Scenario:
    """The parameters of one run; ``load`` is a multiple of the capacity."""

    load: float
    fault: str = 'none'
    is_product: bool = True


class Run:
    """A load on a fleet that counts the outcomes of its requests."""

    def __init__(self, *, scenario: Scenario, fleet: Fleet) -> None:
        """Create the daemons of all zones."""
        self.fleet = fleet
        self._scenario = scenario
        self._daemons = [
            self._make_daemon(zone, number)
            for zone in ZONES
            for number in range(DAEMONS_PER_ZONE)
        ]

    async def run(self) -> None:
        """Send requests for the whole duration and wait for all to end."""
        async with anyio.create_task_group() as tg:
            tg.start_soon(self._inject_fault)
            for number, daemon in enumerate(self._daemons):
                rng = random.Random(self.fleet.seed * _SEED_STRIDE + number)
                tg.start_soon(self._offer, daemon, rng)

    def _make_daemon(self, zone: str, number: int) -> Daemon:
        if self._scenario.is_product:
            return ProductDaemon(
                fleet=self.fleet,
                zone=zone,
                number=number,
                cfg=RoutingSettings(),
            )
        return NaiveDaemon(fleet=self.fleet, zone=zone)

    async def _offer(self, daemon: Daemon, rng: random.Random) -> None:
        rate = self._scenario.load * CAPACITY / len(self._daemons)
        async with anyio.create_task_group() as tg:
            while anyio.current_time() < _DURATION_S:
                await anyio.sleep(rng.expovariate(rate))
                tg.start_soon(self._request, daemon)

    async def _request(self, daemon: Daemon) -> None:
        self.fleet.tally.started += 1
        started_at = anyio.current_time()
        outcome_name = await daemon.forward()
        if started_at < _WARM_UP_S:
            return
        tally = self.fleet.tally
        tally.offered += 1
        latency = anyio.current_time() - started_at
        if outcome_name == 'answered' and latency <= TIMEOUT_S:
            tally.latencies.append(latency)
        elif outcome_name == 'refused':
            tally.refused += 1
        else:
            tally.failed += 1

    async def _inject_fault(self) -> None:
        await anyio.sleep(_WARM_UP_S)
        first = self.fleet.targets[0]
        match self._scenario.fault:
            case 'slow target':
                first.slowdown_factor = 10
            case 'lying target':
                first.is_failing = True
            case 'zone lost':
                await self._lose_zone(first.member.zone)

    async def _lose_zone(self, zone: str) -> None:
        """Make a zone unreachable; the membership detects it later."""
        for target in self.fleet.targets:
            target.is_unreachable = (
                target.is_unreachable or target.member.zone == zone
            )
        await anyio.sleep(_DETECTION_DELAY_S)
        self.fleet.view.listing = self.fleet.list_targets(lost=zone)


def simulate(scenario: Scenario, seed: int) -> Tally:
    """Run a scenario in virtual time and return its counters."""

    async def factory() -> Tally:
        async with anyio.create_task_group() as tg:
            fleet = Fleet(seed=seed, background=tg)
            await Run(scenario=scenario, fleet=fleet).run()
            tg.cancel_scope.cancel()
        return fleet.tally

    return run_virtually(factory)


def summarize(scenario: Scenario) -> None:
    """Print the results of a scenario over all seeds."""
    with ProcessPoolExecutor(max_workers=_MAX_WORKERS) as pool:
        tallies = list(pool.map(partial(simulate, scenario), _SEEDS))
    seconds = _DURATION_S - _WARM_UP_S
    capacity = CAPACITY * seconds
    print(
        json.dumps(
            {
                'bench': 'decisions.fleet',
                'size': scenario.load,
                'fault': scenario.fault,
                'kind': 'decided' if scenario.is_product else 'naive',
                'goodput_of_capacity': spread(
                    [len(one.latencies) / capacity for one in tallies],
                ),
                'answered_share': spread(
                    [len(one.latencies) / one.offered for one in tallies],
                ),
                'refused_share': spread(
                    [one.refused / one.offered for one in tallies],
                ),
                'tries_per_request': spread(
                    [one.attempts / one.started for one in tallies],
                ),
                'p99_ms': spread([p99_ms(one) for one in tallies]),
            },
        ),
    )


def spread(numbers: Sequence[float]) -> list[float]:
    """Return the median, the lowest and the highest value."""
    median_and_range = (statistics.median(numbers), min(numbers), max(numbers))
    return [round(number, 3) for number in median_and_range]


def p99_ms(tally: Tally) -> float:
    """Return the 99th percentile latency of answered requests, in ms."""
    ordered = sorted(tally.latencies) or [0]
    return ordered[int(_P99_FRACTION * (len(ordered) - 1))] * 1000


def main() -> None:
    """Print all results."""
    for is_product in (True, False):
        for load in (0.5, 1, 2, 4):
            summarize(Scenario(load=load, is_product=is_product))
        for fault in ('slow target', 'lying target', 'zone lost'):
            summarize(
                Scenario(
                    load=_FAULT_LOAD,
                    fault=fault,
                    is_product=is_product,
                ),
            )


if __name__ == '__main__':
    sys.exit(main())
