"""Measure how fairly a gate serves a quiet caller beside a noisy one.

The noisy caller sends a multiple of the target's capacity, the quiet one a
tenth of it. The gate's fair queue, which serves callers in turn, is compared
with a plain queue: the same gate with one name for both. Time is virtual.
"""

import json
import random
import statistics
import sys

import anyio
import attrs

from bench.fleetmodel import GROUP, SERVICE_TIME_S, TIMEOUT_S
from bench.virtualtime import LoopTimers, run_virtually
from goldcrestwharf.limits import SlotGate

_SEEDS = (1, 2, 3)
_DURATION_S = 20
_QUIET_LOAD = 0.1
_CAPACITY = GROUP.slots / SERVICE_TIME_S
_P99_FRACTION = 0.99


@attrs.define(kw_only=True)
class Callers:
    """Two callers that send requests to one gate."""

    gate: SlotGate
    rng: random.Random
    is_fair: bool
    offered: int = 0
    latencies: list[float] = attrs.field(factory=list)

    async def run(self, load: float) -> None:
        """Send requests for the whole duration."""
        async with anyio.create_task_group() as tg:
            tg.start_soon(self._send, 'noisy', load)
            tg.start_soon(self._send, 'quiet', _QUIET_LOAD)

    async def _send(self, caller: str, load: float) -> None:
        async with anyio.create_task_group() as tg:
            while anyio.current_time() < _DURATION_S:
                await anyio.sleep(self.rng.expovariate(load * _CAPACITY))
                tg.start_soon(self._request, caller)

    async def _request(self, caller: str) -> None:
        started_at = anyio.current_time()
        self.offered += caller == 'quiet'
        refusal = await self.gate.admit(
            remaining=TIMEOUT_S,
            caller=caller if self.is_fair else 'any',
        )
        if refusal is not None:
            return
        admitted_at = anyio.current_time()
        await anyio.sleep(self.rng.expovariate(1 / SERVICE_TIME_S))
        ended_at = anyio.current_time()
        self.gate.release(service_time=ended_at - admitted_at)
        if caller == 'quiet':
            self.latencies.append(ended_at - started_at)


def simulate(load: float, *, is_fair: bool, seed: int) -> Callers:
    """Run one seed in virtual time and return the callers."""

    async def factory() -> Callers:
        callers = Callers(
            gate=SlotGate(
                slots=GROUP.slots,
                queue=GROUP.queue,
                timers=LoopTimers(),
            ),
            rng=random.Random(seed),
            is_fair=is_fair,
        )
        await callers.run(load)
        return callers

    return run_virtually(factory)


def report(load: float, *, is_fair: bool) -> None:
    """Print the results of the quiet caller."""
    runs = [simulate(load, is_fair=is_fair, seed=seed) for seed in _SEEDS]
    shares = [len(one.latencies) / one.offered for one in runs]
    line = {
        'bench': 'decisions.fairness',
        'size': load,
        'queue': 'turns' if is_fair else 'plain',
        'quiet_answered': spread(shares),
        'quiet_p99_ms': spread([p99_ms(one.latencies) for one in runs]),
    }
    print(json.dumps(line))


def p99_ms(latencies: list[float]) -> float:
    """Return the 99th percentile latency, in ms."""
    ordered = sorted(latencies)
    return ordered[int(_P99_FRACTION * (len(ordered) - 1))] * 1000


def spread(numbers: list[float]) -> list[float]:
    """Return the median, the lowest and the highest value."""
    median_and_range = (statistics.median(numbers), min(numbers), max(numbers))
    return [round(number, 3) for number in median_and_range]


def main() -> None:
    """Print all results."""
    for is_fair in (True, False):
        for load in (1, 2, 4):
            report(load, is_fair=is_fair)


if __name__ == '__main__':
    sys.exit(main())
