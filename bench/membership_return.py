"""Measure how a zone takes in 770 records that a bridge brings at once."""

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
_RECORDS = 770
_BOUND_S = 60


@attrs.frozen(kw_only=True)
class Figures:
    """Give the figures of one size, per member.

    The bytes are those until 20 s after all know all.
    """

    bench: str = 'membership_return'
    size: int
    records: int = _RECORDS
    all_know_all_s: float
    cpu_s: float
    datagram_kb: int
    stream_kb: int


async def measure(size: int) -> Figures:
    """Return the figures of a zone with ``size`` daemons."""
    timers = SteppedTimers()
    async with anyio.create_task_group() as tg:
        network = FakeNetwork(timers=timers, tg=tg)
        daemons = start_daemons(network, size)
        preload(daemons)
        await timers.advance(12)
        figures = await measure_return(network, daemons)
        tg.cancel_scope.cancel()
    return figures


async def measure_return(
    network: FakeNetwork,
    daemons: list[Daemon],
) -> Figures:
    """Return the figures of all records coming to the first daemon."""
    before = attrs.evolve(network.traffic)
    spent = time.process_time()
    seconds = await spread_all(network.timers, daemons)
    spent = time.process_time() - spent
    await network.timers.advance(20)
    return make_figures(before, network.traffic, spent, seconds, len(daemons))


def make_figures(
    before: Traffic,
    after: Traffic,
    spent: float,
    seconds: float,
    size: int,
) -> Figures:
    """Return the figures of ``size`` daemons that together ``spent`` time."""
    sent = after.datagram_bytes - before.datagram_bytes
    streams = after.stream_bytes - before.stream_bytes
    return Figures(
        size=size,
        all_know_all_s=seconds,
        cpu_s=round(spent / size, 3),
        datagram_kb=round(sent / size / 1000),
        stream_kb=round(streams / size / 1000),
    )


async def spread_all(timers: SteppedTimers, daemons: list[Daemon]) -> float:
    """Return the seconds until all daemons know all records."""
    started = timers.now()
    membership = daemons[0].service._core.membership
    for number in range(_RECORDS):
        membership.merge_record(make_record(number), started)
    wanted = _RECORDS + len(daemons)
    while timers.now() - started < _BOUND_S:
        await timers.advance(0.5)
        if all(len(one.states()) == wanted for one in daemons):
            break
    return timers.now() - started


def main() -> None:
    """Print one line for each size."""
    logging.disable(logging.CRITICAL)
    for size in _SIZES:
        figures = attrs.asdict(anyio.run(measure, size))
        print(json.dumps(figures), flush=True)


if __name__ == '__main__':
    main()
