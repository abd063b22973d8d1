"""Measure echo calls over a stream between two ends in one process.

Each size is the number of calls in flight at once. Latencies are in
microseconds, processor time in microseconds per call (both ends together).
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
_WARM_UP = 400
_MICROSECONDS = 1_000_000


@message('bench.echo')
@attrs.frozen(kw_only=True)
class Echo:
    """Carry a body there and back."""

    name: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


def make_context(vm: str, handlers: Handlers) -> PeerContext:
    """Return what one end of a stream needs."""
    identity = Identity(vm=vm, zone='recife-a', address='127.0.0.1:1')
    return PeerContext(
        credentials=Credentials(cluster='b', key=b'k', identity=identity),
        handlers=handlers,
        timers=SystemTimers(),
        cfg=PeerSettings(),
    )


@attrs.define(kw_only=True)
class Caller:
    """Make calls one after the other and keep their latencies."""

    pool: PeerPool
    address: str
    echo: Echo
    latencies: list[float] = attrs.field(factory=list)

    async def run(self, calls: int) -> None:
        """Make ``calls`` calls."""
        while calls:
            calls -= 1
            started = time.perf_counter()
            await self.pool.call(self.address, self.echo, timeout=30)
            self.latencies.append(time.perf_counter() - started)

    async def run_together(self, size: int) -> None:
        """Make all calls of the measurement, ``size`` at a time."""
        async with anyio.create_task_group() as tg:
            for _ in range(size):
                tg.start_soon(self.run, _CALLS // size)


@asynccontextmanager
async def run_callee() -> AsyncIterator[Caller]:
    """Run the answering end; yield the calling one."""
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
    """Return the figures for ``size`` calls in flight."""
    async with run_callee() as caller:
        await caller.run(_WARM_UP)
        caller.latencies.clear()
        return await _measure_warm(caller, size)


async def _measure_warm(caller: Caller, size: int) -> dict[str, object]:
    started, cpu_started = time.perf_counter(), time.process_time()
    await caller.run_together(size)
    wall = time.perf_counter() - started
    cpu = time.process_time() - cpu_started
    cuts = statistics.quantiles(caller.latencies, n=100)
    return {
        'bench': 'peers',
        'size': size,
        'p50_us': round(cuts[49] * _MICROSECONDS),
        'p99_us': round(cuts[98] * _MICROSECONDS),
        'calls_per_s': round(_CALLS / wall),
        'cpu_us': round(cpu / _CALLS * _MICROSECONDS),
    }


def main() -> None:
    """Print one line for each size."""
    for size in _SIZES:
        figures = anyio.run(measure, size)
        print(json.dumps(figures))


if __name__ == '__main__':
    main()
