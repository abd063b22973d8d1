"""Rules that decide when and for how long a request is quarantined."""

from collections.abc import Callable

import attrs

from goldcrestwharf.quarantine._record import (
    CrashRank,
    CrashRecord,
    CrashReport,
)
from goldcrestwharf.quarantine._settings import QuarantineSettings
from goldcrestwharf.quarantine._table import CrashTable

_MS_PER_S = 1000


class QuarantinePolicy:
    """Rules that turn recorded target deaths into quarantine times."""

    def __init__(
        self,
        *,
        cfg: QuarantineSettings,
        clock: Callable[[], float],
        table: CrashTable,
    ) -> None:
        """Compare a request with the others in ``table``."""
        self._table = table
        self._cfg = cfg
        self._clock = clock

    def add_death(self, record: CrashRecord, death: str) -> CrashRecord:
        """Return the record with one more death and a renewed expiry.

        Expired deaths are cleared first.
        """
        if record.deaths and not record.is_current(self._clock()):
            record = self.clear(record)
        return attrs.evolve(
            record,
            deaths=record.deaths | {death},
            expires_at=self._after(self._cfg.crash_memory_ms),
        )

    def quarantine(
        self,
        record: CrashRecord,
        *,
        is_ambiguous: bool = False,
    ) -> CrashRecord:
        """Return the record, quarantined if it has enough deaths.

        If several requests were in flight in the same deaths, it is unknown
        which of them caused the deaths, so all are refused for a short time
        only. The next death distinguishes them, since the others complete.
        """
        if len(record.deaths) < self._cfg.crash_deaths:
            return record
        if is_ambiguous or self._table.is_ambiguous(record):
            rank, refused_ms = CrashRank.AMBIGUOUS, self._cfg.crash_doubt_ms
        else:
            rank, refused_ms = CrashRank.CONFIRMED, self._cfg.crash_verdict_ms
        refused_until = max(self._after(refused_ms), record.refused_until)
        return attrs.evolve(
            record,
            rank=max(rank, record.rank),
            refused_until=refused_until,
            expires_at=max(
                record.expires_at,
                refused_until + self._cfg.crash_memory_ms / _MS_PER_S,
            ),
        )

    def extend(self, record: CrashRecord) -> CrashRecord:
        """Return the record of a request that is tried, refused meanwhile.

        It supersedes the reports of daemons that don't know of the trial.
        """
        return attrs.evolve(
            record,
            edition=record.edition + 1,
            refused_until=self._after(self._cfg.crash_doubt_ms),
        )

    def clear(self, record: CrashRecord) -> CrashRecord:
        """Return a record that supersedes all lower editions.

        It is kept for as long as peers may still gossip lower editions.
        """
        return CrashRecord(
            fingerprint=record.fingerprint,
            edition=record.edition + 1,
            expires_at=self._after(self._longest_ms),
        )

    def from_report(self, report: CrashReport) -> CrashRecord:
        """Return a peer's report as a record; local settings cap its times."""
        refused_ms = min(report.refused_ms, self._cfg.crash_verdict_ms)
        return CrashRecord(
            fingerprint=report.fingerprint,
            edition=report.edition,
            deaths=frozenset(report.deaths),
            rank=report.rank,
            refused_until=self._after(refused_ms),
            expires_at=self._after(min(report.ttl_ms, self._longest_ms)),
        )

    @property
    def _longest_ms(self) -> int:
        """Return the longest time for which a record is kept."""
        return self._cfg.crash_memory_ms + self._cfg.crash_verdict_ms

    def _after(self, milliseconds: int) -> float:
        return self._clock() + milliseconds / _MS_PER_S
