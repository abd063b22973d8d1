"""Quarantine of requests that crash the targets that run them."""

import random
from collections.abc import Iterable

from goldcrestwharf.limits._completions import RecentCompletions
from goldcrestwharf.limits._crash_record import (
    CrashRank,
    CrashRecord,
    CrashVerdict,
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
    of its :attr:`book`; peers :meth:`merge` them. A request that completes
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
        self.book = CrashTable(capacity=cfg.crash_table_size, timers=timers)
        self._cfg = cfg
        self._timers = timers
        self._rng = rng
        self._policy = QuarantinePolicy(cfg=cfg, timers=timers, book=self.book)
        self._completions = RecentCompletions(
            capacity=cfg.crash_table_size,
            retention=cfg.crash_settle_ms / _MS_PER_S,
            timers=timers,
        )

    def note_death(self, fingerprints: Iterable[str]) -> None:
        """Count the death of a target against all requests in flight on it."""
        death = self._rng.randbytes(_DEATH_ID_BYTES).hex()
        suspects = sorted(frozenset(fingerprints))
        for fingerprint in suspects:
            suspect = self.book.find(fingerprint)
            self.book.put(self._policy.add_death(suspect, death))
        for suspected in suspects:
            self.book.put(self._policy.quarantine(self.book.find(suspected)))

    def note_completed(self, fingerprint: str) -> None:
        """Clear a request that ran to completion."""
        self._completions.add(fingerprint)
        record = self.book.find(fingerprint)
        if record.deaths and record.is_current(self._timers.now()):
            self.lift(fingerprint)

    def verdict(self, fingerprint: str) -> Refusal | None:
        """Return the refusal of a request that is quarantined."""
        record = self.book.find(fingerprint)
        if record.rank == CrashRank.AMBIGUOUS:
            record = self._reconsider(record)
        wait = record.refused_until - self._timers.now()
        if wait <= 0:
            return None
        return Refusal(reason=RefusalReason.KILLS_TARGETS, retry_after=wait)

    def merge(self, verdict: CrashVerdict) -> bool:
        """Merge a peer's report; return whether it changed the local record.

        If neither daemon knew all of the merged deaths, the request is first
        quarantined as ambiguous, since reports of other requests in flight
        may still be on their way.
        """
        known = self.book.find(verdict.fingerprint)
        reported = self._policy.from_report(verdict)
        merged = known.merge(reported)
        if merged.deaths not in {known.deaths, reported.deaths}:
            merged = self._policy.quarantine(merged, is_ambiguous=True)
        if merged.is_like(known):
            return False
        self.book.put(merged)
        if merged.deaths and self._completions.contains(verdict.fingerprint):
            self.lift(verdict.fingerprint)
        return True

    def lift(self, fingerprint: str) -> None:
        """Clear a request; older reports from peers are then ignored."""
        record = self.book.find(fingerprint)
        self.book.put(self._policy.clear(record))

    def _reconsider(self, record: CrashRecord) -> CrashRecord:
        """Decide again once reports of other requests had time to arrive."""
        remaining = record.refused_until - self._timers.now()
        elapsed_ms = self._cfg.crash_doubt_ms - remaining * _MS_PER_S
        is_settled = elapsed_ms >= self._cfg.crash_settle_ms
        if is_settled and not self.book.is_ambiguous(record):
            self.book.put(self._policy.quarantine(record))
        return self.book.find(record.fingerprint)
