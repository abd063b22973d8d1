"""In-memory implementation of the platform's log, with fault injection."""

import uuid
from collections.abc import Sequence

import attrs

from goldcrestwharf.log._batches import check_batch
from goldcrestwharf.log._failures import effect_unknown_error
from goldcrestwharf.log._faults import (
    CountedFault,
    FaultInjector,
    LogFaults,
    LogLimits,
    corrupt,
)
from goldcrestwharf.log._log import LogPage
from goldcrestwharf.log._rate import AppendRate
from goldcrestwharf.log._stream import MemoryStream
from goldcrestwharf.timers import Timers


class MemoryLog:
    """Platform log in memory, for tests and local meshes."""

    def __init__(
        self,
        *,
        timers: Timers,
        limits: LogLimits | None = None,
    ) -> None:
        """Start without records."""
        self._timers = timers
        self._limits = limits or LogLimits()
        self._faults = FaultInjector(timers=timers)
        self._streams: dict[str, MemoryStream] = {}
        self._rate = AppendRate(limit=self._limits.appends_per_second)
        self._log_id = uuid.uuid4().hex

    async def append(self, stream: str, bodies: Sequence[bytes]) -> int:
        """Append records in one step and return the first one's offset."""
        check_batch(bodies)
        await self._faults.delay_or_fail()
        now = self._timers.now()
        self._rate.acquire(now)
        records = self._stream(stream)
        if self._faults.consume(CountedFault.CORRUPTION):
            bodies = corrupt(bodies)
        offset = records.append(bodies, now=now)
        if self._faults.consume(CountedFault.DUPLICATE):
            records.append(bodies, now=now)
        if self._faults.consume(CountedFault.LOST_ANSWER):
            raise effect_unknown_error(
                'the answer of the platform log was lost'
            )
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
        await self._faults.delay_or_fail()
        if wait > 0 and self._stream(stream).end_offset == offset:
            with self._timers.limit(wait):
                await self._stream(stream).wait_for_append()
            await self._faults.delay_or_fail()
        page = self._stream(stream).page(offset, limit)
        return attrs.evolve(page, log_id=self._log_id)

    def inject_faults(self, faults: LogFaults) -> None:
        """Replace the injected faults by ``faults``."""
        self._faults.configure(faults)

    def replace(self) -> None:
        """Discard all records and restart offsets at zero."""
        self._log_id = uuid.uuid4().hex
        replaced = tuple(self._streams.values())
        self._streams.clear()
        for stream in replaced:
            stream.wake_readers()

    def release_readers(self) -> None:
        """Return from all long polls now."""
        for stream in self._streams.values():
            stream.wake_readers()

    def _stream(self, name: str) -> MemoryStream:
        stream = self._streams.setdefault(name, MemoryStream())
        stream.expire(self._limits, now=self._timers.now())
        return stream
