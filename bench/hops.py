"""Measure the latency that two hops add to a request.

The caller, two daemons and the target run in separate processes. Direct
requests and requests through the daemons alternate in one run, from the same
caller. Each size is the number of requests per second, sent at fixed times
whether or not earlier ones were answered. The variants are the product's hops
(``hops``), the proxy that runs on the users' platform (``proxy``), and the
proxy without logs (``proxy_silent``).
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
_DURATION_S = 6
_WARM_UP_CALLS = 300
_MS_PER_S = 1000
_US_PER_S = 1_000_000
_DIRECT = 'direct'

#: The daemon module of each variant and its extra arguments.
_VARIANTS = MappingProxyType(
    {
        'hops': ('bench.mesh_daemon',),
        'proxy': ('bench.mesh_proxy',),
        'proxy_silent': ('bench.mesh_proxy', '--log-level', 'CRITICAL'),
    },
)
_CPU_TICKS_PER_S = os.sysconf('SC_CLK_TCK')


@attrs.frozen(kw_only=True)
class Process:
    """A process of the measurement and the addresses that it printed."""

    pid: int
    addresses: tuple[str, ...]

    def cpu_seconds(self) -> float:
        """Return the processor time that the process has used."""
        fields = Path(f'/proc/{self.pid}/stat').read_text().split()
        return (int(fields[13]) + int(fields[14])) / _CPU_TICKS_PER_S


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
    """A client that records latencies by variant."""

    variants: dict[str, str]
    client: H11TargetClient = attrs.field(
        factory=lambda: H11TargetClient(
            timers=SystemTimers(),
            cfg=HopsSettings(),
        ),
    )
    latencies: dict[str, list[float]] = attrs.field(factory=dict)
    failures: int = 0

    async def call(self, variant: str) -> None:
        """Send one request and record its latency."""
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
        answer = await self.client.send(self.variants[variant], req)
        self.latencies[variant].append(time.perf_counter() - started)
        self.failures += answer.status != 200

    async def warm_up(self) -> None:
        """Open connections and fill caches."""
        self.clear()
        variants = itertools.cycle(self.variants)
        for variant in itertools.islice(variants, _WARM_UP_CALLS):
            await self.call(variant)
        self.clear()

    def clear(self) -> None:
        """Discard all latencies."""
        self.latencies = {variant: [] for variant in self.variants}

    async def offer(self, variant: str, rate: int) -> None:
        """Send requests at a fixed rate, whatever the responses take."""
        started = time.perf_counter()
        async with anyio.create_task_group() as tg:
            for number in range(rate * _DURATION_S):
                await _sleep_until(started + number / rate)
                tg.start_soon(self.call, variant)


async def _sleep_until(due: float) -> None:
    await anyio.sleep(max(due - time.perf_counter(), 0))


Daemons = tuple[Process, Process]


async def measure(caller: Caller, daemons: dict[str, Daemons]) -> None:
    """Print the results of each rate and variant."""
    await caller.warm_up()
    for rate in _RATES:
        caller.clear()
        await caller.offer(_DIRECT, rate)
        for variant, pair in daemons.items():
            before = sum(daemon.cpu_seconds() for daemon in pair)
            await caller.offer(variant, rate)
            cpu = sum(daemon.cpu_seconds() for daemon in pair) - before
            line = describe(caller, variant, rate, cpu)
            print(json.dumps(line), flush=True)


def describe(
    caller: Caller,
    variant: str,
    rate: int,
    cpu: float,
) -> dict[str, object]:
    """Return the results of one variant at one rate."""
    direct = _compute_percentiles_ms(caller.latencies[_DIRECT])
    forwarded = _compute_percentiles_ms(caller.latencies[variant])
    return {
        'bench': variant,
        'size': rate,
        'direct_p50_ms': direct[49],
        'direct_p99_ms': direct[98],
        'added_p50_ms': round(forwarded[49] - direct[49], 2),
        'added_p99_ms': round(forwarded[98] - direct[98], 2),
        'daemons_cpu_us': round(cpu / (rate * _DURATION_S) * _US_PER_S),
        'failures': caller.failures,
    }


def _compute_percentiles_ms(latencies: list[float]) -> list[float]:
    percentiles = statistics.quantiles(latencies, n=100)
    return [round(cut * _MS_PER_S, 2) for cut in percentiles]


@contextmanager
def start_daemons(
    target: Process,
    module: str,
    *extra_args: str,
) -> Iterator[Daemons]:
    """Run the daemon for callers and the daemon of the target."""
    common_args = ('--target', target.addresses[0], *extra_args)
    with start(module, '--vm', 'far', *common_args) as target_daemon:
        connect_args = ('--vm', 'near', '--far', target_daemon.addresses[1])
        with start(module, *connect_args, *common_args) as entry_daemon:
            yield entry_daemon, target_daemon


def main() -> None:
    """Start the processes and measure."""
    with ExitStack() as stack:
        target = stack.enter_context(start('bench.mesh_target'))
        daemons = {
            variant: stack.enter_context(start_daemons(target, *started))
            for variant, started in _VARIANTS.items()
        }
        variants = {
            variant: pair[0].addresses[0] for variant, pair in daemons.items()
        }
        caller = Caller(variants={_DIRECT: target.addresses[0], **variants})
        anyio.run(measure, caller, daemons)


if __name__ == '__main__':
    main()
