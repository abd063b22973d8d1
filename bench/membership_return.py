"""Measure how 770 records that arrive at one daemon spread in its zone."""

import json
import logging
import time

import anyio
import attrs

from bench.membership_records import make_record
from bench.membership_zone import preload
from test.membership.network import (
    Daemon,
    FakeNetwork,
    Traffic,
    start_daemons,
)
from test.membership.stepped import SteppedTimers

_SIZES = (10, 25, 50)
_RECORD_COUNT = 770
_TIMEOUT_S = 60


@attrs.frozen(kw_only=True)
class Measurements:
    """The results of one size; costs are per member.

    Bytes are counted until 20 s after all daemons know all records.
    """

    bench: str = 'membership_return'
    size: int
    records: int = _RECORD_COUNT
    all_know_all_s: float
    cpu_s: float
    datagram_kb: int
    stream_kb: int


async def measure(size: int) -> Measurements:
    """Return the results of a zone with ``size`` daemons."""
    timers = SteppedTimers()
    async with anyio.create_task_group() as tg:
        network = FakeNetwork(timers=timers, tg=tg)
        daemons = start_daemons(network, size)
        preload(daemons)
        await timers.advance(12)
        measurements = await measure_return(network, daemons)
        tg.cancel_scope.cancel()
    return measurements


async def measure_return(
    network: FakeNetwork,
    daemons: list[Daemon],
) -> Measurements:
    """Return the results of merging all records at the first daemon."""
    before = attrs.evolve(network.traffic)
    cpu_s = time.process_time()
    seconds = await spread_all(network.timers, daemons)
    cpu_s = time.process_time() - cpu_s
    await network.timers.advance(20)
    return make_measurements(
        before, network.traffic, cpu_s, seconds, len(daemons)
    )


def make_measurements(
    before: Traffic,
    after: Traffic,
    cpu_s: float,
    seconds: float,
    size: int,
) -> Measurements:
    """Return the results per daemon; ``cpu_s`` is the total of all."""
    datagram_bytes = after.datagram_bytes - before.datagram_bytes
    stream_bytes = after.stream_bytes - before.stream_bytes
    return Measurements(
        size=size,
        all_know_all_s=seconds,
        cpu_s=round(cpu_s / size, 3),
        datagram_kb=round(datagram_bytes / size / 1000),
        stream_kb=round(stream_bytes / size / 1000),
    )


async def spread_all(timers: SteppedTimers, daemons: list[Daemon]) -> float:
    """Merge the records; return the seconds until all daemons know them."""
    started = timers.now()
    membership = daemons[0].service._core.membership
    for number in range(_RECORD_COUNT):
        membership.merge_record(make_record(number), started)
    expected_count = _RECORD_COUNT + len(daemons)
    while timers.now() - started < _TIMEOUT_S:
        await timers.advance(0.5)
        if all(len(one.states()) == expected_count for one in daemons):
            break
    return timers.now() - started


def main() -> None:
    """Print one line for each size."""
    logging.disable(logging.CRITICAL)
    for size in _SIZES:
        measurements = attrs.asdict(anyio.run(measure, size))
        print(json.dumps(measurements), flush=True)


if __name__ == '__main__':
    main()
