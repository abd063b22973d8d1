"""Judge requests by the deaths of targets that they were in flight in."""

import attrs

from goldcrestwharf.limits._crash_book import CrashBook
from goldcrestwharf.limits._crash_record import (
    CrashRank,
    CrashRecord,
    CrashVerdict,
)
from goldcrestwharf.limits._settings import LimitSettings
from goldcrestwharf.timers import Timers

_MS_PER_SECOND = 1000


class CrashJudge:
    """Turn evidence into times of refusal."""

    def __init__(
        self,
        *,
        cfg: LimitSettings,
        timers: Timers,
        book: CrashBook,
    ) -> None:
        """Compare requests with the others in ``book``."""
        self._book = book
        self._cfg = cfg
        self._timers = timers

    def blame(self, record: CrashRecord, death: str) -> CrashRecord:
        """Return the record with one more death, remembered anew.

        Evidence that has expired is voided first.
        """
        if record.deaths and not record.is_current(self._timers.now()):
            record = self.acquit(record)
        return attrs.evolve(
            record,
            deaths=record.deaths | {death},
            expires_at=self._after(self._cfg.crash_memory_ms),
        )

    def sentence(
        self,
        record: CrashRecord,
        *,
        is_doubtful: bool = False,
    ) -> CrashRecord:
        """Return the record with the time of refusal that it deserves.

        Where several requests died in the same targets, one of them is
        guilty and nobody knows which. All are refused for a short time
        only; the next death tells them apart, since the others complete.
        """
        if len(record.deaths) < self._cfg.crash_deaths:
            return record
        if is_doubtful or self._book.has_companion(record):
            rank, refused_ms = CrashRank.DOUBTFUL, self._cfg.crash_doubt_ms
        else:
            rank, refused_ms = CrashRank.CERTAIN, self._cfg.crash_verdict_ms
        refused_until = max(self._after(refused_ms), record.refused_until)
        return attrs.evolve(
            record,
            rank=max(rank, record.rank),
            refused_until=refused_until,
            expires_at=max(record.expires_at, refused_until),
        )

    def acquit(self, record: CrashRecord) -> CrashRecord:
        """Return a record that voids the evidence of lower editions.

        It is kept for as long as such evidence may still go round.
        """
        longest = max(self._cfg.crash_memory_ms, self._cfg.crash_verdict_ms)
        return CrashRecord(
            fingerprint=record.fingerprint,
            edition=record.edition + 1,
            expires_at=self._after(longest),
        )

    def read(self, verdict: CrashVerdict) -> CrashRecord:
        """Return a peer's evidence, its times no longer than our own."""
        refused_ms = min(verdict.refused_ms, self._cfg.crash_verdict_ms)
        longest = max(self._cfg.crash_memory_ms, self._cfg.crash_verdict_ms)
        return CrashRecord(
            fingerprint=verdict.fingerprint,
            edition=verdict.edition,
            deaths=frozenset(verdict.deaths),
            rank=verdict.rank,
            refused_until=self._after(refused_ms),
            expires_at=self._after(min(verdict.ttl_ms, longest)),
        )

    def _after(self, milliseconds: int) -> float:
        return self._timers.now() + milliseconds / _MS_PER_SECOND
