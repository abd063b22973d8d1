"""Measure what claims cost: memory, appends and added latency.

The log is a model: an append takes 5 ms and readers see it immediately.
Claims come at random times through one or several daemons, each of which
batches its own claims; time is virtual. Prints one JSON line for each size.
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

_APPEND_S = 0.005
_DURATION_S = 5
_CLAIMS_PER_S = 200
_TEXT_LENGTH = 32
_P99_FRACTION = 0.99


class ModelLog:
    """An in-memory log of one stream that counts the appends."""

    def __init__(self) -> None:
        """Create an empty log."""
        self.appends = 0
        self._records: list[LogRecord] = []
        self._grown = anyio.Event()

    async def append(self, stream: str, bodies: Sequence[bytes]) -> int:
        """Append records and return the offset of the first."""
        self.appends += 1
        await anyio.sleep(_APPEND_S)
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
        """Return records from ``offset`` on, waiting if there are none."""
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
    """Claims of keys through several daemons, and their latencies."""

    log: ModelLog
    rng: random.Random
    latencies: list[float] = attrs.field(factory=list)

    async def run(self, daemons: int, window_ms: int) -> None:
        """Claim random keys at a fixed mean total rate."""
        claims = [
            self._make_claims(number, window_ms) for number in range(daemons)
        ]
        async with anyio.create_task_group() as tg:
            for claims_of_daemon in claims:
                tg.start_soon(claims_of_daemon.run)
            await anyio.sleep(1)
            while anyio.current_time() < _DURATION_S + 1:
                await anyio.sleep(self.rng.expovariate(_CLAIMS_PER_S))
                tg.start_soon(self._claim, self.rng.choice(claims))
            await anyio.sleep(1)
            tg.cancel_scope.cancel()

    def _make_claims(self, number: int, window_ms: int) -> Claims:
        return Claims(
            log=self.log,
            cfg=LimitSettings(claim_window_ms=window_ms),
            timers=LoopTimers(),
            rng=random.Random(number),
        )

    async def _claim(self, claims: Claims) -> None:
        started_at = anyio.current_time()
        outcome = await claims.claim(
            key=str(self.rng.random()),
            caller='guide',
            fingerprint='f',
        )
        if isinstance(outcome, Won):
            self.latencies.append(anyio.current_time() - started_at)


def report_appends(daemons: int, window_ms: int) -> None:
    """Print the appends per second and the latency of claims."""

    async def factory() -> Load:
        load = Load(log=ModelLog(), rng=random.Random(1))
        await load.run(daemons, window_ms)
        return load

    load = run_virtually(factory)
    ordered = sorted(load.latencies)
    p99 = ordered[int(_P99_FRACTION * (len(ordered) - 1))]
    line = {
        'bench': 'decisions.claims',
        'size': daemons,
        'window_ms': window_ms,
        'claims_per_s': round(len(ordered) / _DURATION_S),
        'appends_per_s': round(load.log.appends / _DURATION_S),
        'p50_ms': round(statistics.median(ordered) * 1000, 1),
        'p99_ms': round(p99 * 1000, 1),
    }
    print(json.dumps(line))


def make_record(number: int) -> ClaimRecord:
    """Return a claim record with texts of realistic length."""
    return ClaimRecord(
        claim_id=str(number).zfill(_TEXT_LENGTH // 2),
        key=str(number).zfill(_TEXT_LENGTH),
        fingerprint=str(-number).zfill(_TEXT_LENGTH),
    )


def report_memory(size: int) -> None:
    """Print the memory of one key in the claim index, in bytes."""
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
    """Print all results."""
    for daemons in (1, 5, 20):
        for window_ms in (0, 5, 50):
            report_appends(daemons, window_ms)
    for size in (2000, 20_000, 100_000):
        report_memory(size)


if __name__ == '__main__':
    sys.exit(main())
