"""Measure the memory and synchronization cost of a large mesh's records."""

import json
import logging
import time
import tracemalloc

import anyio
import attrs

from bench.membership_records import ZONE_COUNT, make_record
from goldcrestwharf.membership._exchange import BusyPeerError
from test.membership.network import Daemon, FakeNetwork
from test.membership.stepped import SteppedTimers

_SIZES = (5000, 10_000, 23_000)
_ZONE_MEMBERS = 770


@attrs.frozen(kw_only=True)
class Cost:
    """The cost of one synchronization, for both sides together."""

    stream_bytes: int
    seconds: float
    cpu_ms_both: float


@attrs.frozen(kw_only=True)
class Measurements:
    """The results for one number of records."""

    bench: str = 'membership_state'
    size: int
    bytes_per_record: int
    megabytes: float
    join: Cost
    no_difference: Cost
    zone_returns: Cost
    views_equal: bool


def measure_memory(daemon: Daemon, count: int) -> float:
    """Merge ``count`` records and return the memory of each, in bytes."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    membership = daemon.service._core.membership
    for number in range(count):
        membership.merge_record(make_record(number), 0)
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return (after - before) / count


async def measure_exchange(initiator: Daemon, responder: Daemon) -> Cost:
    """Return the cost of one synchronization."""
    network = initiator.network
    before = network.traffic.stream_bytes
    started = network.timers.now()
    cpu_s = time.process_time()
    await run_exchange(initiator, responder)
    cpu_s = time.process_time() - cpu_s
    return Cost(
        stream_bytes=network.traffic.stream_bytes - before,
        seconds=round(network.timers.now() - started, 1),
        cpu_ms_both=round(1000 * cpu_s, 1),
    )


async def run_exchange(initiator: Daemon, responder: Daemon) -> None:
    """Advance the clock until the synchronization has ended."""
    finished = anyio.Event()
    network = initiator.network
    network.tg.start_soon(exchange_with_retries, initiator, responder, finished)
    while not finished.is_set():
        await network.timers.advance(0.1)


async def exchange_with_retries(
    initiator: Daemon,
    responder: Daemon,
    finished: anyio.Event,
) -> None:
    """Synchronize, and retry whenever the responder is busy."""
    joiner = initiator.service._tasks.joiner
    while not finished.is_set():
        try:
            await joiner._exchange.run(responder.address)
        except BusyPeerError as exc:
            await initiator.network.timers.sleep(exc.retry_after)
        else:
            finished.set()


def restart_zone(holder: Daemon, size: int) -> None:
    """Give the members of one zone a newer incarnation."""
    membership = holder.service._core.membership
    for number in range(_ZONE_MEMBERS):
        record = make_record(number * ZONE_COUNT % size)
        newer = attrs.evolve(record, incarnation=record.incarnation + 1)
        membership.merge_record(newer, 0)


async def measure_pair(
    holder: Daemon,
    newcomer: Daemon,
    size: int,
) -> Measurements:
    """Return the results of a newcomer that synchronizes with ``holder``."""
    per_record = measure_memory(holder, size)
    join = await measure_exchange(newcomer, holder)
    no_difference = await measure_exchange(newcomer, holder)
    restart_zone(holder, size)
    zone_returns = await measure_exchange(newcomer, holder)
    return Measurements(
        size=size,
        bytes_per_record=round(per_record),
        megabytes=round(per_record * size / 1e6, 1),
        join=join,
        no_difference=no_difference,
        zone_returns=zone_returns,
        views_equal=holder.alive() == newcomer.alive(),
    )


async def measure(size: int) -> None:
    """Print the results for ``size`` records."""
    async with anyio.create_task_group() as tg:
        network = FakeNetwork(timers=SteppedTimers(), tg=tg)
        holder = Daemon(network, 'holder')
        newcomer = Daemon(network, 'newcomer')
        measurements = await measure_pair(holder, newcomer, size)
        print(json.dumps(attrs.asdict(measurements)), flush=True)
        tg.cancel_scope.cancel()


def main() -> None:
    """Print one line for each size."""
    logging.disable(logging.CRITICAL)
    for size in _SIZES:
        anyio.run(measure, size)


if __name__ == '__main__':
    main()
