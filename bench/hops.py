"""Measure what the two hops add to a call.

The caller, two daemons and the target are processes of their own. Direct
calls and calls through the daemons alternate in one run, from the same
caller. Each size is the number of requests per second that the caller
offers, at fixed times, whatever the answers take. The ways are the product's
hops (``hops``), the request path that runs on the users' platform
(``proxy``), and that one without logs (``proxy_silent``).
"""

import itertools
import json
import os
import statistics
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path
from types import MappingProxyType

import anyio
import attrs

from goldcrestwharf.hops import H11TargetClient, HopsSettings, TargetRequest
from goldcrestwharf.timers import SystemTimers

_RATES = (50, 200, 410)
_SECONDS = 6
_WARM_UP = 300
_MILLISECONDS = 1000
_MICROSECONDS = 1_000_000
_DIRECT = 'direct'

#: The modules of the ways through daemons, and their further arguments.
_WAYS = MappingProxyType(
    {
        'hops': ('bench.mesh_daemon',),
        'proxy': ('bench.mesh_proxy',),
        'proxy_silent': ('bench.mesh_proxy', '--log-level', 'CRITICAL'),
    },
)
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
                (b'request-id', b'0123456789abcdef'),
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
        ways = itertools.cycle(self.ways)
        for way in itertools.islice(ways, _WARM_UP):
            await self.call(way)
        self.forget()

    def forget(self) -> None:
        """Forget all latencies."""
        self.latencies = {way: [] for way in self.ways}

    async def offer(self, way: str, rate: int) -> None:
        """Send requests for some seconds, each at its own time."""
        started = time.perf_counter()
        async with anyio.create_task_group() as tg:
            for number in range(rate * _SECONDS):
                await _sleep_until(started + number / rate)
                tg.start_soon(self.call, way)


async def _sleep_until(due: float) -> None:
    await anyio.sleep(max(due - time.perf_counter(), 0))


Daemons = tuple[Process, Process]


async def measure(caller: Caller, daemons: dict[str, Daemons]) -> None:
    """Print the figures of each rate and way."""
    await caller.warm_up()
    for rate in _RATES:
        caller.forget()
        await caller.offer(_DIRECT, rate)
        for way, pair in daemons.items():
            before = sum(daemon.cpu_seconds() for daemon in pair)
            await caller.offer(way, rate)
            cpu = sum(daemon.cpu_seconds() for daemon in pair) - before
            described = describe(caller, way, rate, cpu)
            print(json.dumps(described), flush=True)


def describe(
    caller: Caller,
    way: str,
    rate: int,
    cpu: float,
) -> dict[str, object]:
    """Return the figures of one way at one rate."""
    direct = _cut(caller.latencies[_DIRECT])
    hops = _cut(caller.latencies[way])
    return {
        'bench': way,
        'size': rate,
        'direct_p50_ms': direct[49],
        'direct_p99_ms': direct[98],
        'added_p50_ms': round(hops[49] - direct[49], 2),
        'added_p99_ms': round(hops[98] - direct[98], 2),
        'daemons_cpu_us': round(cpu / (rate * _SECONDS) * _MICROSECONDS),
        'failures': caller.failures,
    }


def _cut(latencies: list[float]) -> list[float]:
    cuts = statistics.quantiles(latencies, n=100)
    return [round(cut * _MILLISECONDS, 2) for cut in cuts]


@contextmanager
def start_daemons(
    target: Process,
    module: str,
    *more: str,
) -> Iterator[Daemons]:
    """Run the daemon that callers enter and the one beside the target."""
    common = ('--target', target.addresses[0], *more)
    with start(module, '--vm', 'far', *common) as far:
        to_far = ('--vm', 'near', '--far', far.addresses[1])
        with start(module, *to_far, *common) as near:
            yield near, far


def main() -> None:
    """Start the processes and measure."""
    with ExitStack() as stack:
        target = stack.enter_context(start('bench.mesh_target'))
        daemons = {
            way: stack.enter_context(start_daemons(target, *started))
            for way, started in _WAYS.items()
        }
        ways = {way: pair[0].addresses[0] for way, pair in daemons.items()}
        caller = Caller(ways={_DIRECT: target.addresses[0], **ways})
        anyio.run(measure, caller, daemons)


if __name__ == '__main__':
    main()
