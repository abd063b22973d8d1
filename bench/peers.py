"""Measure echo calls over a peer connection within one process.

Each size is the number of concurrent calls. Latencies are in microseconds,
processor time in microseconds per call for both sides together.
"""

import json
import random
import statistics
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import attrs

from goldcrestwharf.peers import (
    Credentials,
    Handlers,
    Identity,
    PeerConn,
    PeerContext,
    PeerPool,
    PeerSettings,
    serve_peers,
)
from goldcrestwharf.timers import SystemTimers
from goldcrestwharf.wire import message

_SIZES = (1, 16, 64)
_CALLS = 4000
_WARM_UP_CALLS = 400
_US_PER_S = 1_000_000


@message('bench.echo')
@attrs.frozen(kw_only=True)
class Echo:
    """A message that is returned unchanged."""

    name: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


def make_context(vm: str, handlers: Handlers) -> PeerContext:
    """Return the context of one side of a connection."""
    identity = Identity(vm=vm, zone='recife-a', address='127.0.0.1:1')
    return PeerContext(
        credentials=Credentials(cluster='b', key=b'k', identity=identity),
        handlers=handlers,
        timers=SystemTimers(),
        cfg=PeerSettings(),
    )


@attrs.define(kw_only=True)
class Caller:
    """A client that makes calls and records their latencies."""

    pool: PeerPool
    address: str
    echo: Echo
    latencies: list[float] = attrs.field(factory=list)

    async def run(self, calls: int) -> None:
        """Make ``calls`` calls one after another."""
        while calls:
            calls -= 1
            started = time.perf_counter()
            await self.pool.call(self.address, self.echo, timeout=30)
            self.latencies.append(time.perf_counter() - started)

    async def run_concurrently(self, size: int) -> None:
        """Make all calls of the measurement, ``size`` concurrently."""
        async with anyio.create_task_group() as tg:
            for _ in range(size):
                tg.start_soon(self.run, _CALLS // size)


@asynccontextmanager
async def run_echo_server() -> AsyncIterator[Caller]:
    """Run a server that echoes messages; yield a client of it."""
    handlers = Handlers()

    @handlers.on(Echo)
    async def factory(echo: Echo, _conn: PeerConn) -> Echo:
        return echo

    names = [b'x-field-%d' % number for number in range(8)]
    fields = tuple((name, b'a' * 20) for name in names)
    async with anyio.create_task_group() as tg:
        address = await tg.start(
            serve_peers,
            '127.0.0.1:0',
            make_context('b', handlers),
        )
        yield Caller(
            pool=PeerPool(
                context=make_context('a', Handlers()),
                tg=tg,
                rng=random.Random(1),
            ),
            address=address,
            echo=Echo(name='menu', headers=fields, body=b'x' * 200),
        )
        tg.cancel_scope.cancel()


async def measure(size: int) -> dict[str, object]:
    """Return the results for ``size`` concurrent calls."""
    async with run_echo_server() as caller:
        await caller.run(_WARM_UP_CALLS)
        caller.latencies.clear()
        return await _measure_warm(caller, size)


async def _measure_warm(caller: Caller, size: int) -> dict[str, object]:
    started, cpu_started = time.perf_counter(), time.process_time()
    await caller.run_concurrently(size)
    wall_s = time.perf_counter() - started
    cpu_s = time.process_time() - cpu_started
    percentiles = statistics.quantiles(caller.latencies, n=100)
    return {
        'bench': 'peers',
        'size': size,
        'p50_us': round(percentiles[49] * _US_PER_S),
        'p99_us': round(percentiles[98] * _US_PER_S),
        'calls_per_s': round(_CALLS / wall_s),
        'cpu_us': round(cpu_s / _CALLS * _US_PER_S),
    }


def main() -> None:
    """Print one line for each size."""
    for size in _SIZES:
        measurements = anyio.run(measure, size)
        print(json.dumps(measurements))


if __name__ == '__main__':
    main()
