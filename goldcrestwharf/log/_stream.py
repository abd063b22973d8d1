"""Records of one stream, in memory."""

from collections.abc import Iterator, Sequence

import anyio
import attrs

from goldcrestwharf.log._faults import LogLimits
from goldcrestwharf.log._log import LogPage, LogRecord

#: A page ends with the record with which its bodies reach this size.
MAX_PAGE_BYTES = 8_388_608


@attrs.frozen(kw_only=True)
class StoredRecord:
    """Record, with the time of its append in seconds."""

    record: LogRecord
    appended_at: float


class MemoryStream:
    """Stream of records with retention."""

    def __init__(self) -> None:
        """Start without records, at offset zero."""
        self._first_offset = 0
        self._records: list[StoredRecord] = []
        self._appended = anyio.Event()

    @property
    def end_offset(self) -> int:
        """Return the offset that the next append gets."""
        return self._first_offset + len(self._records)

    def append(self, bodies: Sequence[bytes], *, now: float) -> int:
        """Append records and return the offset of the first one."""
        first = self.end_offset
        for offset, body in enumerate(bodies, start=first):
            record = LogRecord(offset=offset, body=body)
            self._records.append(StoredRecord(record=record, appended_at=now))
        self.wake_readers()
        return first

    def page(self, offset: int, limit: int) -> LogPage:
        """Return up to ``limit`` records from ``offset`` on."""
        start = max(offset - self._first_offset, 0)
        selected = self._records[start : start + limit]
        return LogPage(
            records=tuple(_limit_page_size(selected)),
            first_offset=self._first_offset,
            end_offset=self.end_offset,
        )

    def expire(self, limits: LogLimits, *, now: float) -> None:
        """Discard the records beyond the retention in ``limits``."""
        expired = _count_expired(self._records, limits, now)
        if expired:
            self._records = self._records[expired:]
            self._first_offset += expired

    async def wait_for_append(self) -> None:
        """Wait until a record is appended or readers are woken."""
        await self._appended.wait()

    def wake_readers(self) -> None:
        """Wake all tasks in :meth:`wait_for_append`."""
        self._appended.set()
        self._appended = anyio.Event()


def _limit_page_size(selected: Sequence[StoredRecord]) -> Iterator[LogRecord]:
    size = 0
    for stored in selected:
        yield stored.record
        size += len(stored.record.body)
        if size >= MAX_PAGE_BYTES:
            break


def _count_expired(
    records: Sequence[StoredRecord],
    limits: LogLimits,
    now: float,
) -> int:
    expired = 0
    if limits.retention_records is not None:
        expired = max(len(records) - limits.retention_records, 0)
    if limits.retention is None:
        return expired
    oldest = now - limits.retention
    while expired < len(records) and records[expired].appended_at < oldest:
        expired += 1
    return expired
