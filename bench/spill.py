"""Measure the spillover of an overloaded zone, and whether it settles.

One zone is offered twice its capacity, the others 0.4 times theirs; there are
no faults. Prints one JSON line for each setting; time is virtual.
``settle_s`` is when the spillover share first reached 90% of its mean over
the last half, and ``swing`` the difference between the highest and the lowest
share in that half.
"""

import json
import random
import statistics
import sys
from concurrent.futures import ProcessPoolExecutor
from functools import partial

import anyio
import attrs

from bench.fleetmodel import (
    CAPACITY,
    DAEMONS_PER_ZONE,
    GROUP_NAME,
    TIMEOUT_S,
    ZONES,
    Fleet,
    ProductDaemon,
)
from bench.virtualtime import run_virtually
from goldcrestwharf.routing import RoutingSettings

_SEEDS = (1, 2, 3)
_DURATION_S = 16
_SAMPLE_INTERVAL_S = 0.1
_OVERLOAD_FACTOR = 2
_BASE_LOAD_FACTOR = 0.4
_SETTLED_FRACTION = 0.9
_SEED_STRIDE = 1000


@attrs.define(kw_only=True)
class Trace:
    """The spillover share over time and the counters of requests."""

    shares: list[float] = attrs.field(factory=list)
    offered: int = 0
    answered: int = 0

    @property
    def last_half(self) -> list[float]:
        """The shares in the last half of the run."""
        return self.shares[len(self.shares) // 2 :]

    @property
    def settle_s(self) -> float:
        """The seconds until the share first reached 90% of its later mean."""
        goal = statistics.mean(self.last_half) * _SETTLED_FRACTION
        index = next(
            at for at, share in enumerate(self.shares) if share >= goal
        )
        return index * _SAMPLE_INTERVAL_S

    @property
    def swing(self) -> float:
        """The range of the share in the last half."""
        return max(self.last_half) - min(self.last_half)


@attrs.define(kw_only=True)
class OverloadedZone:
    """A load that exceeds the capacity of one zone."""

    fleet: Fleet
    cfg: RoutingSettings
    trace: Trace = attrs.field(factory=Trace)

    async def run(self) -> None:
        """Send requests for the whole duration."""
        daemons = [
            ProductDaemon(
                fleet=self.fleet,
                zone=zone,
                number=number,
                cfg=self.cfg,
            )
            for zone in ZONES
            for number in range(DAEMONS_PER_ZONE)
        ]
        async with anyio.create_task_group() as tg:
            tg.start_soon(self._sample, daemons[0])
            for index, daemon in enumerate(daemons):
                rng = random.Random(self.fleet.seed * _SEED_STRIDE + index)
                tg.start_soon(self._offer, daemon, rng)

    async def _sample(self, daemon: ProductDaemon) -> None:
        while anyio.current_time() < _DURATION_S:
            await anyio.sleep(_SAMPLE_INTERVAL_S)
            self.trace.shares.append(daemon.chooser.spill_share(GROUP_NAME))

    async def _offer(self, daemon: ProductDaemon, rng: random.Random) -> None:
        is_overloaded = daemon.zone == ZONES[0]
        load = _OVERLOAD_FACTOR if is_overloaded else _BASE_LOAD_FACTOR
        rate = load * CAPACITY / len(ZONES) / DAEMONS_PER_ZONE
        async with anyio.create_task_group() as tg:
            while anyio.current_time() < _DURATION_S:
                await anyio.sleep(rng.expovariate(rate))
                tg.start_soon(self._request, daemon, is_overloaded)

    async def _request(
        self, daemon: ProductDaemon, is_overloaded: bool
    ) -> None:
        started_at = anyio.current_time()
        outcome_name = await daemon.forward()
        is_late = anyio.current_time() - started_at > TIMEOUT_S
        if is_overloaded:
            self.trace.offered += 1
            self.trace.answered += outcome_name == 'answered' and not is_late


def simulate(cfg: RoutingSettings, seed: int) -> Trace:
    """Run one seed in virtual time and return its trace."""

    async def factory() -> Trace:
        async with anyio.create_task_group() as tg:
            fleet = Fleet(seed=seed, background=tg)
            zone = OverloadedZone(fleet=fleet, cfg=cfg)
            await zone.run()
        return zone.trace

    return run_virtually(factory)


def report(cfg: RoutingSettings) -> None:
    """Print the results of one setting over all seeds."""
    with ProcessPoolExecutor(max_workers=len(_SEEDS)) as pool:
        traces = list(pool.map(partial(simulate, cfg), _SEEDS))
    line = {
        'bench': 'decisions.spill',
        'size': cfg.spill_step_percent,
        'band_percent': cfg.spill_band_percent,
        'share': spread([statistics.mean(one.last_half) for one in traces]),
        'settle_s': spread([one.settle_s for one in traces]),
        'swing': spread([one.swing for one in traces]),
        'answered': spread([one.answered / one.offered for one in traces]),
    }
    print(json.dumps(line))


def spread(numbers: list[float]) -> list[float]:
    """Return the median, the lowest and the highest value."""
    median_and_range = (statistics.median(numbers), min(numbers), max(numbers))
    return [round(number, 3) for number in median_and_range]


def main() -> None:
    """Print all results."""
    for band in (20, 0):
        for step in (2, 5, 10, 20):
            report(
                RoutingSettings(
                    spill_step_percent=step,
                    spill_band_percent=band,
                ),
            )


if __name__ == '__main__':
    sys.exit(main())
