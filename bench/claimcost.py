"""Measure what claims cost: memory, appends and added latency.

The log is a model: an append takes 5 ms and a reader learns of it at once.
Daemons claim at random times, each batching its own claims, or all through
one of them; time is virtual. Prints one JSON line for each size.
"""

import json
import random
import statistics
import sys
import tracemalloc
from collections.abc import Sequence

import anyio
import attrs

from bench.virtualtime import LoopTimers, run_virtually
from goldcrestwharf.limits import Claims, LimitSettings, Won, _claim_index
from goldcrestwharf.limits._claim_records import ClaimRecord
from goldcrestwharf.log import LogPage, LogRecord

_APPEND_SECONDS = 0.005
_SECONDS = 5
_CLAIMS_PER_SECOND = 200
_DIGITS = 32
_P99 = 0.99


class ModelLog:
    """Keep one stream and count the appends."""

    def __init__(self) -> None:
        """Start empty."""
        self.appends = 0
        self._records: list[LogRecord] = []
        self._grown = anyio.Event()

    async def append(self, stream: str, bodies: Sequence[bytes]) -> int:
        """Append records in one step."""
        self.appends += 1
        await anyio.sleep(_APPEND_SECONDS)
        first = len(self._records)
        for offset, body in enumerate(bodies, first):
            self._records.append(LogRecord(offset=offset, body=body))
        self._grown.set()
        self._grown = anyio.Event()
        return first

    async def read(
        self,
        stream: str,
        *,
        offset: int,
        limit: int,
        wait: float,
    ) -> LogPage:
        """Return the records from ``offset`` on."""
        if offset >= len(self._records):
            with anyio.move_on_after(wait):
                await self._grown.wait()
        return LogPage(
            records=tuple(self._records[offset : offset + limit]),
            first_offset=0,
            end_offset=len(self._records),
        )


@attrs.define(kw_only=True)
class Load:
    """Claim keys through some daemons and note how long each claim took."""

    log: ModelLog
    rng: random.Random
    latencies: list[float] = attrs.field(factory=list)

    async def play(self, daemons: int, window_ms: int) -> None:
        """Claim at a fixed total rate."""
        claims = [self._make(number, window_ms) for number in range(daemons)]
        async with anyio.create_task_group() as tg:
            for one in claims:
                tg.start_soon(one.run)
            await anyio.sleep(1)
            while anyio.current_time() < _SECONDS + 1:
                await anyio.sleep(self.rng.expovariate(_CLAIMS_PER_SECOND))
                tg.start_soon(self._claim, self.rng.choice(claims))
            await anyio.sleep(1)
            tg.cancel_scope.cancel()

    def _make(self, number: int, window_ms: int) -> Claims:
        return Claims(
            log=self.log,
            cfg=LimitSettings(claim_window_ms=window_ms),
            timers=LoopTimers(),
            rng=random.Random(number),
        )

    async def _claim(self, claims: Claims) -> None:
        started_at = anyio.current_time()
        told = await claims.claim(
            key=str(self.rng.random()),
            caller='guide',
            fingerprint='f',
        )
        if isinstance(told, Won):
            self.latencies.append(anyio.current_time() - started_at)


def report_appends(daemons: int, window_ms: int) -> None:
    """Print appends a second and the latency of a claim."""

    async def factory() -> Load:
        load = Load(log=ModelLog(), rng=random.Random(1))
        await load.play(daemons, window_ms)
        return load

    load = run_virtually(factory)
    ordered = sorted(load.latencies)
    p99 = ordered[int(_P99 * (len(ordered) - 1))]
    line = {
        'bench': 'decisions.claims',
        'size': daemons,
        'window_ms': window_ms,
        'claims_per_s': round(len(ordered) / _SECONDS),
        'appends_per_s': round(load.log.appends / _SECONDS),
        'p50_ms': round(statistics.median(ordered) * 1000, 1),
        'p99_ms': round(p99 * 1000, 1),
    }
    print(json.dumps(line))


def make_record(number: int) -> ClaimRecord:
    """Return a claim whose texts are as long as real ones."""
    return ClaimRecord(
        claim_id=str(number).zfill(_DIGITS // 2),
        key=str(number).zfill(_DIGITS),
        fingerprint=str(-number).zfill(_DIGITS),
    )


def report_memory(size: int) -> None:
    """Print the memory of one remembered key, in bytes."""
    tracemalloc.start()
    index = _claim_index.ClaimIndex(capacity=size)
    for number in range(size):
        index.add_claim(make_record(number), number, 0)
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    line = {
        'bench': 'decisions.claim-index',
        'size': size,
        'bytes_per_key': round(used / size),
    }
    print(json.dumps(line))


def main() -> None:
    """Print all figures."""
    for daemons in (1, 5, 20):
        for window_ms in (0, 5, 50):
            report_appends(daemons, window_ms)
    for size in (2000, 20_000, 100_000):
        report_memory(size)


if __name__ == '__main__':
    sys.exit(main())
