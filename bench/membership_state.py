"""Measure what the records of the whole mesh cost one daemon."""

import json
import logging
import time
import tracemalloc

import anyio
import attrs

from bench.membership_records import ZONES, make_record
from goldcrestwharf.membership._exchange import BusyPeerError
from test.membership.network import Daemon, FakeNetwork
from test.membership.stepped import SteppedTimers

_SIZES = (5000, 10_000, 23_000)
_ZONE_MEMBERS = 770


@attrs.frozen(kw_only=True)
class Cost:
    """Give what one comparison costs both sides together."""

    stream_bytes: int
    seconds: float
    cpu_ms_both: float


@attrs.frozen(kw_only=True)
class Figures:
    """Give the figures for one number of records."""

    bench: str = 'membership_state'
    size: int
    bytes_per_record: int
    megabytes: float
    join: Cost
    no_difference: Cost
    zone_returns: Cost
    views_equal: bool


def measure_memory(daemon: Daemon, count: int) -> float:
    """Return the bytes held for each record."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    membership = daemon.service._core.membership
    for number in range(count):
        membership.merge_record(make_record(number), 0)
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return (after - before) / count


async def measure_exchange(asker: Daemon, answerer: Daemon) -> Cost:
    """Return the cost of one comparison."""
    network = asker.network
    before = network.traffic.stream_bytes
    started = network.timers.now()
    spent = time.process_time()
    await finish_exchange(asker, answerer)
    spent = time.process_time() - spent
    return Cost(
        stream_bytes=network.traffic.stream_bytes - before,
        seconds=round(network.timers.now() - started, 1),
        cpu_ms_both=round(1000 * spent, 1),
    )


async def finish_exchange(asker: Daemon, answerer: Daemon) -> None:
    """Advance the clock until the comparison has ended."""
    finished = anyio.Event()
    network = asker.network
    network.tg.start_soon(exchange, asker, answerer, finished)
    while not finished.is_set():
        await network.timers.advance(0.1)


async def exchange(
    asker: Daemon,
    answerer: Daemon,
    finished: anyio.Event,
) -> None:
    """Compare, coming back as often as the other side asks for it."""
    joiner = asker.service._tasks.joiner
    while not finished.is_set():
        try:
            await joiner._exchange.run(answerer.address)
        except BusyPeerError as exc:
            await asker.network.timers.sleep(exc.retry_after)
        else:
            finished.set()


def return_zone(holder: Daemon, size: int) -> None:
    """Let the members of one zone have restarted."""
    membership = holder.service._core.membership
    for number in range(_ZONE_MEMBERS):
        record = make_record(number * ZONES % size)
        newer = attrs.evolve(record, incarnation=record.incarnation + 1)
        membership.merge_record(newer, 0)


async def measure_pair(
    holder: Daemon,
    newcomer: Daemon,
    size: int,
) -> Figures:
    """Return the figures of a newcomer that asks ``holder``."""
    per_record = measure_memory(holder, size)
    joining = await measure_exchange(newcomer, holder)
    agreed = await measure_exchange(newcomer, holder)
    return_zone(holder, size)
    returned = await measure_exchange(newcomer, holder)
    return Figures(
        size=size,
        bytes_per_record=round(per_record),
        megabytes=round(per_record * size / 1e6, 1),
        join=joining,
        no_difference=agreed,
        zone_returns=returned,
        views_equal=holder.alive() == newcomer.alive(),
    )


async def measure(size: int) -> None:
    """Print the figures for ``size`` records."""
    async with anyio.create_task_group() as tg:
        network = FakeNetwork(timers=SteppedTimers(), tg=tg)
        holder = Daemon(network, 'holder')
        newcomer = Daemon(network, 'newcomer')
        figures = await measure_pair(holder, newcomer, size)
        print(json.dumps(attrs.asdict(figures)), flush=True)
        tg.cancel_scope.cancel()


def main() -> None:
    """Print one line for each size."""
    logging.disable(logging.CRITICAL)
    for size in _SIZES:
        anyio.run(measure, size)


if __name__ == '__main__':
    main()
