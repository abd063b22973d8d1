"""Quarantine of requests that crash the targets that run them."""

import random
from collections.abc import Iterable

from goldcrestwharf.limits._completions import RecentCompletions
from goldcrestwharf.limits._crash_record import (
    CrashRank,
    CrashRecord,
    CrashReport,
)
from goldcrestwharf.limits._crash_table import CrashTable
from goldcrestwharf.limits._quarantine_policy import QuarantinePolicy
from goldcrestwharf.limits._refusal import Refusal, RefusalReason
from goldcrestwharf.limits._settings import LimitSettings
from goldcrestwharf.timers import Timers

_DEATH_ID_BYTES = 8
_MS_PER_S = 1000


class CrashGuard:
    """Quarantine of requests that were in flight in several target deaths.

    A daemon records the deaths of targets on its VM and gossips the updates
    of its :attr:`table`; peers :meth:`merge` them. A request that completes
    is not the cause of the deaths and is cleared on all daemons, even if it
    completed shortly before the report of the deaths arrived.
    """

    def __init__(
        self,
        *,
        cfg: LimitSettings,
        timers: Timers,
        rng: random.Random,
    ) -> None:
        """Start with no crash records."""
        self.table = CrashTable(capacity=cfg.crash_table_size, timers=timers)
        self._cfg = cfg
        self._timers = timers
        self._rng = rng
        self._policy = QuarantinePolicy(
            cfg=cfg, timers=timers, table=self.table
        )
        self._completions = RecentCompletions(
            capacity=cfg.crash_table_size,
            retention=cfg.crash_settle_ms / _MS_PER_S,
            timers=timers,
        )

    def record_death(self, fingerprints: Iterable[str]) -> None:
        """Count the death of a target against all requests in flight on it."""
        death = self._rng.randbytes(_DEATH_ID_BYTES).hex()
        suspects = sorted(frozenset(fingerprints))
        for fingerprint in suspects:
            suspect = self.table.find(fingerprint)
            self.table.put(self._policy.add_death(suspect, death))
        for suspected in suspects:
            self.table.put(self._policy.quarantine(self.table.find(suspected)))

    def record_completion(self, fingerprint: str) -> None:
        """Clear a request that ran to completion."""
        self._completions.add(fingerprint)
        record = self.table.find(fingerprint)
        if record.deaths and record.is_current(self._timers.now()):
            self.lift(fingerprint)

    def check(self, fingerprint: str) -> Refusal | None:
        """Return the refusal of a request that is quarantined."""
        record = self.table.find(fingerprint)
        if record.rank == CrashRank.AMBIGUOUS:
            record = self._reconsider(record)
        wait = record.refused_until - self._timers.now()
        if wait <= 0:
            return None
        return Refusal(reason=RefusalReason.KILLS_TARGETS, retry_after=wait)

    def merge(self, report: CrashReport) -> bool:
        """Merge a peer's report; return whether it changed the local record.

        If neither daemon knew all of the merged deaths, the request is first
        quarantined as ambiguous, since reports of other requests in flight
        may still be on their way.
        """
        known = self.table.find(report.fingerprint)
        reported = self._policy.from_report(report)
        merged = known.merge(reported)
        if merged.deaths not in {known.deaths, reported.deaths}:
            merged = self._policy.quarantine(merged, is_ambiguous=True)
        if merged.is_like(known):
            return False
        self.table.put(merged)
        if merged.deaths and self._completions.contains(report.fingerprint):
            self.lift(report.fingerprint)
        return True

    def lift(self, fingerprint: str) -> None:
        """Clear a request; older reports from peers are then ignored."""
        record = self.table.find(fingerprint)
        self.table.put(self._policy.clear(record))

    def _reconsider(self, record: CrashRecord) -> CrashRecord:
        """Decide again once reports of other requests had time to arrive."""
        remaining = record.refused_until - self._timers.now()
        elapsed_ms = self._cfg.crash_doubt_ms - remaining * _MS_PER_S
        is_settled = elapsed_ms >= self._cfg.crash_settle_ms
        if is_settled and not self.table.is_ambiguous(record):
            self.table.put(self._policy.quarantine(record))
        return self.table.find(record.fingerprint)
