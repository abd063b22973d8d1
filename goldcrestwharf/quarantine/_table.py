"""Bounded table of requests that were in flight when targets died."""

import heapq
from collections.abc import Callable, Iterator

from goldcrestwharf.quarantine._fingerprint import drop_caller
from goldcrestwharf.quarantine._record import CrashRecord, CrashReport

_MS_PER_S = 1000
_EXPIRED_RETENTION_S = 120

#: Part of the capacity by which a table may grow before records are evicted.
_EVICTION_FRACTION = 8


class CrashTable:
    """Crash records by fingerprint, evicting those with the fewest crashes.

    Records in quarantine go last, and cleared ones first.
    """

    def __init__(self, *, capacity: int, clock: Callable[[], float]) -> None:
        """Keep up to ``capacity`` records, an eighth more between evictions."""
        self._capacity = capacity
        self._eviction_size = capacity + capacity // _EVICTION_FRACTION
        self._clock = clock
        self._records: dict[str, CrashRecord] = {}
        self._updated: dict[str, CrashRecord] = {}
        self._suspects: dict[str, None] = {}

    @property
    def has_suspects(self) -> bool:
        """Return whether any request is suspected."""
        now = self._clock()
        while self._suspects:
            record = self.find(next(reversed(self._suspects)))
            if record.deaths and record.is_current(now):
                return True
            self._suspects.popitem()
        return False

    def find(self, fingerprint: str) -> CrashRecord:
        """Return the record of a request, empty if there is none.

        An expired record is returned for a grace period, so that a peer
        whose copy expires slightly later can't reintroduce it.
        """
        record = self._records.get(fingerprint)
        if record is None or _is_discarded(record, self._clock()):
            return CrashRecord(fingerprint=fingerprint)
        return record

    def put(self, record: CrashRecord) -> None:
        """Add or replace a record and include it in the next updates."""
        self._records[record.fingerprint] = record
        self._updated[record.fingerprint] = record
        if record.deaths:
            self._suspects.setdefault(record.fingerprint)
        if len(self._records) > self._eviction_size:
            self._evict()

    def is_ambiguous(self, record: CrashRecord) -> bool:
        """Return whether another request shares all deaths of ``record``."""
        return any(
            other.deaths >= record.deaths
            for other in self._current()
            if drop_caller(other.fingerprint) != drop_caller(record.fingerprint)
        )

    def take_updates(self) -> tuple[CrashReport, ...]:
        """Return reports of the records changed since the last call."""
        now = self._clock()
        updated = self._updated
        self._updated = {}
        return tuple(
            _make_report(record, now)
            for record in updated.values()
            if record.is_current(now)
        )

    def reports(self) -> tuple[CrashReport, ...]:
        """Return reports of all current records, for operators and peers."""
        self._evict()
        now = self._clock()
        return tuple(_make_report(record, now) for record in self._current())

    def _evict(self) -> None:
        if len(self._records) <= self._capacity:
            return
        now = self._clock()
        kept = heapq.nlargest(
            self._capacity,
            (
                one
                for one in self._records.values()
                if not _is_discarded(one, now)
            ),
            key=_retention_rank,
        )
        self._records = {one.fingerprint: one for one in kept}
        self._suspects = {one.fingerprint: None for one in kept if one.deaths}

    def _current(self) -> Iterator[CrashRecord]:
        now = self._clock()
        return (one for one in self._records.values() if one.is_current(now))


def _make_report(record: CrashRecord, now: float) -> CrashReport:
    return CrashReport(
        fingerprint=record.fingerprint,
        edition=record.edition,
        deaths=tuple(sorted(record.deaths)),
        rank=record.rank,
        refused_ms=_to_ms(record.refused_until - now),
        ttl_ms=_to_ms(record.expires_at - now),
    )


def _is_discarded(record: CrashRecord, now: float) -> bool:
    return not record.is_current(now - _EXPIRED_RETENTION_S)


def _retention_rank(record: CrashRecord) -> tuple[float, int, float]:
    return (record.refused_until, len(record.deaths), record.expires_at)


def _to_ms(seconds: float) -> int:
    return int(max(seconds, 0) * _MS_PER_S)
