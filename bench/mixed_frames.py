"""Measure how large messages delay small ones on one stream.

Each size is the body of the large messages in bytes; one of them is always
under way while small ones are echoed one after the other. Zero means that
there are no large ones.
"""

import json
import statistics

import anyio
import attrs

from bench.peers import Caller, run_callee

_SIZES = (0, 16_384, 262_144, 1_048_576)
_CALLS = 600
_MICROSECONDS = 1_000_000


async def send_large(caller: Caller, size: int) -> None:
    """Echo large messages until cancelled."""
    large = attrs.evolve(caller.echo, body=bytes(size))
    while size:
        await caller.pool.call(caller.address, large, timeout=30)


async def measure(size: int) -> dict[str, object]:
    """Return the latencies of the small messages."""
    async with run_callee() as caller, anyio.create_task_group() as tg:
        await caller.run(_CALLS // 4)
        caller.latencies.clear()
        tg.start_soon(send_large, caller, size)
        await caller.run(_CALLS)
        tg.cancel_scope.cancel()
    return describe(size, caller)


def describe(size: int, caller: Caller) -> dict[str, object]:
    """Return the figures of one size."""
    cuts = statistics.quantiles(caller.latencies, n=100)
    return {
        'bench': 'mixed_frames',
        'size': size,
        'small_p50_us': round(cuts[49] * _MICROSECONDS),
        'small_p99_us': round(cuts[98] * _MICROSECONDS),
    }


def main() -> None:
    """Print one line for each size."""
    for size in _SIZES:
        print(json.dumps(anyio.run(measure, size)))


if __name__ == '__main__':
    main()
