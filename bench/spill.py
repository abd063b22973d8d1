"""Measure how a zone's overload spills over, and whether it settles.

One zone gets twice its capacity, the others 0.4 times theirs; nothing else
fails. Prints one JSON line for each setting; time is virtual. ``settle_s``
is when the share first reached nine tenths of its mean over the last half,
and ``swing`` the difference of the highest and lowest share in that half.
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
    TIMEOUT_SECONDS,
    ZONES,
    DecidedDaemon,
    Fleet,
)
from bench.virtualtime import run_virtually
from goldcrestwharf.routing import RoutingSettings

_SEEDS = (1, 2, 3)
_SECONDS = 16
_SAMPLE_SECONDS = 0.1
_HOT = 2
_CALM = 0.4
_NEARLY = 0.9
_STRIDE = 1000


@attrs.define(kw_only=True)
class Trace:
    """Hold the share over time and the ends of the requests."""

    shares: list[float] = attrs.field(factory=list)
    offered: int = 0
    answered: int = 0

    @property
    def late(self) -> list[float]:
        """Return the shares of the last half."""
        return self.shares[len(self.shares) // 2 :]

    @property
    def settle_s(self) -> float:
        """Return when the share nearly reached its later mean."""
        goal = statistics.mean(self.late) * _NEARLY
        index = next(
            at for at, share in enumerate(self.shares) if share >= goal
        )
        return index * _SAMPLE_SECONDS

    @property
    def swing(self) -> float:
        """Return how far the share moved in the last half."""
        return max(self.late) - min(self.late)


@attrs.define(kw_only=True)
class HotZone:
    """Offer one zone more than it can carry."""

    fleet: Fleet
    cfg: RoutingSettings
    trace: Trace = attrs.field(factory=Trace)

    async def play(self) -> None:
        """Offer requests for the whole time."""
        daemons = [
            DecidedDaemon(
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
                rng = random.Random(self.fleet.seed * _STRIDE + index)
                tg.start_soon(self._offer, daemon, rng)

    async def _sample(self, daemon: DecidedDaemon) -> None:
        while anyio.current_time() < _SECONDS:
            await anyio.sleep(_SAMPLE_SECONDS)
            self.trace.shares.append(daemon.chooser.spill_share(GROUP_NAME))

    async def _offer(self, daemon: DecidedDaemon, rng: random.Random) -> None:
        is_hot = daemon.zone == ZONES[0]
        load = _HOT if is_hot else _CALM
        rate = load * CAPACITY / len(ZONES) / DAEMONS_PER_ZONE
        async with anyio.create_task_group() as tg:
            while anyio.current_time() < _SECONDS:
                await anyio.sleep(rng.expovariate(rate))
                tg.start_soon(self._request, daemon, is_hot)

    async def _request(self, daemon: DecidedDaemon, is_hot: bool) -> None:
        started_at = anyio.current_time()
        ended = await daemon.forward()
        is_late = anyio.current_time() - started_at > TIMEOUT_SECONDS
        if is_hot:
            self.trace.offered += 1
            self.trace.answered += ended == 'answered' and not is_late


def simulate(cfg: RoutingSettings, seed: int) -> Trace:
    """Return the trace of one run."""

    async def factory() -> Trace:
        async with anyio.create_task_group() as tg:
            fleet = Fleet(seed=seed, background=tg)
            zone = HotZone(fleet=fleet, cfg=cfg)
            await zone.play()
        return zone.trace

    return run_virtually(factory)


def report(cfg: RoutingSettings) -> None:
    """Print the figures of one setting over all seeds."""
    with ProcessPoolExecutor(max_workers=len(_SEEDS)) as pool:
        traces = list(pool.map(partial(simulate, cfg), _SEEDS))
    line = {
        'bench': 'decisions.spill',
        'size': cfg.spill_step_percent,
        'band_percent': cfg.spill_band_percent,
        'share': spread([statistics.mean(one.late) for one in traces]),
        'settle_s': spread([one.settle_s for one in traces]),
        'swing': spread([one.swing for one in traces]),
        'answered': spread([one.answered / one.offered for one in traces]),
    }
    print(json.dumps(line))


def spread(numbers: list[float]) -> list[float]:
    """Return the median, the lowest and the highest."""
    found = (statistics.median(numbers), min(numbers), max(numbers))
    return [round(number, 3) for number in found]


def main() -> None:
    """Print all figures."""
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
