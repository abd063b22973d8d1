"""Measure how large messages delay small ones on one peer connection.

Each size is the body of the large messages in bytes. One large message is
always in flight while small ones are echoed one after another; with size 0
there are no large messages.
"""

import json
import statistics

import anyio
import attrs

from bench.peers import Caller, run_echo_server

_SIZES = (0, 16_384, 262_144, 1_048_576)
_CALLS = 600
_US_PER_S = 1_000_000


async def send_large(caller: Caller, size: int) -> None:
    """Echo large messages until cancelled."""
    large = attrs.evolve(caller.echo, body=bytes(size))
    while size:
        await caller.pool.call(caller.address, large, timeout=30)


async def measure(size: int) -> dict[str, object]:
    """Return the latencies of the small messages."""
    async with run_echo_server() as caller, anyio.create_task_group() as tg:
        await caller.run(_CALLS // 4)
        caller.latencies.clear()
        tg.start_soon(send_large, caller, size)
        await caller.run(_CALLS)
        tg.cancel_scope.cancel()
    return describe(size, caller)


def describe(size: int, caller: Caller) -> dict[str, object]:
    """Return the results of one size."""
    percentiles = statistics.quantiles(caller.latencies, n=100)
    return {
        'bench': 'mixed_frames',
        'size': size,
        'small_p50_us': round(percentiles[49] * _US_PER_S),
        'small_p99_us': round(percentiles[98] * _US_PER_S),
    }


def main() -> None:
    """Print one line for each size."""
    for size in _SIZES:
        print(json.dumps(anyio.run(measure, size)))


if __name__ == '__main__':
    main()
