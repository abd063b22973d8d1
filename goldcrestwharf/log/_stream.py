"""Keep the records of one stream in memory."""

from collections.abc import Iterator, Sequence

import anyio
import attrs

from goldcrestwharf.log._faults import LogLimits
from goldcrestwharf.log._log import LogPage, LogRecord

#: A page ends with the record that reaches this size.
MAX_PAGE_BYTES = 8_388_608


@attrs.frozen(kw_only=True)
class StoredRecord:
    """Hold a record and when it was appended, in seconds."""

    record: LogRecord
    appended_at: float


class MemoryStream:
    """Append, read and expire the records of one stream."""

    def __init__(self) -> None:
        """Start without records, at offset zero."""
        self._first_offset = 0
        self._kept: list[StoredRecord] = []
        self._grown = anyio.Event()

    @property
    def end_offset(self) -> int:
        """Return the offset that the next append gets."""
        return self._first_offset + len(self._kept)

    def append(self, bodies: Sequence[bytes], *, now: float) -> int:
        """Append records and return the offset of the first one."""
        first = self.end_offset
        for offset, body in enumerate(bodies, start=first):
            record = LogRecord(offset=offset, body=body)
            self._kept.append(StoredRecord(record=record, appended_at=now))
        self.wake_readers()
        return first

    def page(self, offset: int, limit: int) -> LogPage:
        """Return up to ``limit`` records from ``offset`` on."""
        start = max(offset - self._first_offset, 0)
        chosen = self._kept[start : start + limit]
        return LogPage(
            records=tuple(_take_bounded(chosen)),
            first_offset=self._first_offset,
            end_offset=self.end_offset,
        )

    def expire(self, limits: LogLimits, *, now: float) -> None:
        """Drop the records that ``limits`` don't allow to keep."""
        expired = _count_expired(self._kept, limits, now)
        if expired:
            self._kept = self._kept[expired:]
            self._first_offset += expired

    async def wait_grown(self) -> None:
        """Return once a record was appended or readers are woken."""
        await self._grown.wait()

    def wake_readers(self) -> None:
        """Let those that wait look again."""
        self._grown.set()
        self._grown = anyio.Event()


def _take_bounded(chosen: Sequence[StoredRecord]) -> Iterator[LogRecord]:
    size = 0
    for stored in chosen:
        yield stored.record
        size += len(stored.record.body)
        if size >= MAX_PAGE_BYTES:
            break


def _count_expired(
    kept: Sequence[StoredRecord],
    limits: LogLimits,
    now: float,
) -> int:
    excess = 0
    if limits.retention_records is not None:
        excess = max(len(kept) - limits.retention_records, 0)
    if limits.retention is None:
        return excess
    oldest = now - limits.retention
    while excess < len(kept) and kept[excess].appended_at < oldest:
        excess += 1
    return excess
