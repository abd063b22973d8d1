"""Offer the platform's log in memory, with faults that a test orders."""

from collections.abc import Sequence

from goldcrestwharf.log._batches import check_batch
from goldcrestwharf.log._failures import maybe_done
from goldcrestwharf.log._faults import (
    CountedFault,
    FaultPlan,
    LogFaults,
    LogLimits,
    corrupt,
)
from goldcrestwharf.log._log import LogPage
from goldcrestwharf.log._rate import AppendRate
from goldcrestwharf.log._stream import MemoryStream
from goldcrestwharf.timers import Timers


class MemoryLog:
    """Keep streams of records, as the platform does."""

    def __init__(
        self,
        *,
        timers: Timers,
        limits: LogLimits | None = None,
    ) -> None:
        """Start without records."""
        self._timers = timers
        self._limits = limits or LogLimits()
        self._plan = FaultPlan(timers=timers)
        self._streams: dict[str, MemoryStream] = {}
        self._rate = AppendRate(limit=self._limits.appends_per_second)

    async def append(self, stream: str, bodies: Sequence[bytes]) -> int:
        """Append records in one step and return the first one's offset."""
        check_batch(bodies)
        await self._plan.suffer()
        now = self._timers.now()
        self._rate.spend(now)
        kept = self._stream(stream)
        if self._plan.use_up(CountedFault.CORRUPTION):
            bodies = corrupt(bodies)
        offset = kept.append(bodies, now=now)
        if self._plan.use_up(CountedFault.DUPLICATE):
            kept.append(bodies, now=now)
        if self._plan.use_up(CountedFault.LOST_ANSWER):
            raise maybe_done('the answer of the platform log was lost')
        return offset

    async def read(
        self,
        stream: str,
        *,
        offset: int,
        limit: int,
        wait: float,
    ) -> LogPage:
        """Return records from ``offset`` on; wait for the first one."""
        await self._plan.suffer()
        if wait > 0 and self._stream(stream).end_offset == offset:
            with self._timers.limit(wait):
                await self._stream(stream).wait_grown()
            await self._plan.suffer()
        return self._stream(stream).page(offset, limit)

    def order(self, faults: LogFaults) -> None:
        """Suffer ``faults`` from now on, in place of earlier ones."""
        self._plan.order(faults)

    def replace(self) -> None:
        """Lose all records; offsets begin anew."""
        lost = tuple(self._streams.values())
        self._streams.clear()
        for stream in lost:
            stream.wake_readers()

    def release_readers(self) -> None:
        """Answer all long polls at once."""
        for stream in self._streams.values():
            stream.wake_readers()

    def _stream(self, name: str) -> MemoryStream:
        stream = self._streams.setdefault(name, MemoryStream())
        stream.expire(self._limits, now=self._timers.now())
        return stream
