"""Measure what the two hops add to a call.

The caller, two daemons and the target are processes of their own. Direct
calls and calls through the daemons alternate in one run, from the same
caller. Each size is the number of requests per second that the caller
offers, at fixed times, whatever the answers take.
"""

import argparse
import json
import os
import statistics
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path

import anyio
import attrs

from bench.mesh_loop import run_with_loop
from goldcrestwharf.hops import H11TargetClient, HopsSettings, TargetRequest
from goldcrestwharf.timers import SystemTimers

_RATES = (50, 200, 410)
_SECONDS = 6
_WARM_UP = 300
_MILLISECONDS = 1000
_MICROSECONDS = 1_000_000
_TICKS_PER_S = os.sysconf('SC_CLK_TCK')


@attrs.frozen(kw_only=True)
class Process:
    """Hold a process of the measurement and the addresses it printed."""

    pid: int
    addresses: tuple[str, ...]

    def cpu_seconds(self) -> float:
        """Return the processor time that it has used."""
        fields = Path(f'/proc/{self.pid}/stat').read_text().split()
        return (int(fields[13]) + int(fields[14])) / _TICKS_PER_S


@contextmanager
def start(module: str, *args: str) -> Iterator[Process]:
    """Run a module of the measurement until the block ends."""
    command = [sys.executable, '-m', module, *args]
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as proc:
        assert proc.stdout is not None
        line = proc.stdout.readline()
        try:
            yield Process(pid=proc.pid, addresses=tuple(line.split()))
        finally:
            proc.terminate()


@attrs.define(kw_only=True)
class Caller:
    """Send requests at a fixed rate and keep their latencies by way."""

    ways: dict[str, str]
    client: H11TargetClient = attrs.field(
        factory=lambda: H11TargetClient(
            timers=SystemTimers(),
            cfg=HopsSettings(),
        ),
    )
    latencies: dict[str, list[float]] = attrs.field(factory=dict)
    failures: int = 0

    async def call(self, way: str) -> None:
        """Send one request and wait for its answer."""
        req = TargetRequest(
            method=b'GET',
            path=b'/menu/today?kitchen=12',
            headers=(
                (b'host', b'menu.example'),
                (b'accept', b'application/json'),
                (b'user-agent', b'bench'),
                (b'x-request-id', b'0123456789abcdef'),
            ),
            body=b'',
            remaining=5,
        )
        started = time.perf_counter()
        answer = await self.client.send(self.ways[way], req)
        self.latencies[way].append(time.perf_counter() - started)
        self.failures += answer.status != 200

    async def warm_up(self) -> None:
        """Open connections and fill caches."""
        self.forget()
        for number in range(_WARM_UP):
            await self.call(tuple(self.ways)[number % len(self.ways)])
        self.forget()

    def forget(self) -> None:
        """Forget all latencies."""
        self.latencies = {way: [] for way in self.ways}

    async def offer(self, way: str, rate: int) -> None:
        """Send requests for some seconds, each at its own time."""
        started = time.perf_counter()
        async with anyio.create_task_group() as tg:
            for number in range(rate * _SECONDS):
                wait = started + number / rate - time.perf_counter()
                await anyio.sleep(max(wait, 0))
                tg.start_soon(self.call, way)


async def measure(caller: Caller, daemons: tuple[Process, ...]) -> None:
    """Print the figures of each rate."""
    await caller.warm_up()
    for rate in _RATES:
        caller.forget()
        await caller.offer('direct', rate)
        before = [daemon.cpu_seconds() for daemon in daemons]
        await caller.offer('hops', rate)
        after = [daemon.cpu_seconds() for daemon in daemons]
        cpu = sum(after) - sum(before)
        print(json.dumps(describe(caller, rate, cpu)), flush=True)


def describe(caller: Caller, rate: int, cpu: float) -> dict[str, object]:
    """Return the figures of one rate."""
    direct = statistics.quantiles(caller.latencies['direct'], n=100)
    hops = statistics.quantiles(caller.latencies['hops'], n=100)
    return {
        'bench': 'hops',
        'size': rate,
        'direct_p50_ms': round(direct[49] * _MILLISECONDS, 2),
        'direct_p99_ms': round(direct[98] * _MILLISECONDS, 2),
        'added_p50_ms': round((hops[49] - direct[49]) * _MILLISECONDS, 2),
        'added_p99_ms': round((hops[98] - direct[98]) * _MILLISECONDS, 2),
        'daemons_cpu_us': round(cpu / (rate * _SECONDS) * _MICROSECONDS),
        'failures': caller.failures,
    }


def main() -> None:
    """Start the processes and measure."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--loop', default='asyncio')
    loop = parser.parse_args().loop
    with ExitStack() as stack:
        target = stack.enter_context(start('bench.mesh_target'))
        common = ('--target', target.addresses[0], '--loop', loop)
        far = stack.enter_context(
            start('bench.mesh_daemon', '--vm', 'far', *common),
        )
        near = stack.enter_context(
            start(
                'bench.mesh_daemon',
                '--vm',
                'near',
                '--far',
                far.addresses[1],
                *common,
            ),
        )
        caller = Caller(
            ways={'direct': target.addresses[0], 'hops': near.addresses[0]},
        )
        run_with_loop('asyncio', measure, caller, (near, far))


if __name__ == '__main__':
    main()
