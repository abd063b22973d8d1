"""Quarantine of requests that crash the targets that run them."""

import random
from collections.abc import Callable, Iterable

from goldcrestwharf.quarantine._completions import RecentCompletions
from goldcrestwharf.quarantine._policy import QuarantinePolicy
from goldcrestwharf.quarantine._record import (
    CrashRank,
    CrashRecord,
    CrashReport,
)
from goldcrestwharf.quarantine._settings import QuarantineSettings
from goldcrestwharf.quarantine._table import CrashTable
from goldcrestwharf.quarantine._trials import CrashTrials

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
        cfg: QuarantineSettings,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        """Start with no crash records."""
        self.table = CrashTable(capacity=cfg.crash_table_size, clock=clock)
        self._cfg = cfg
        self._clock = clock
        self._rng = rng
        self._policy = QuarantinePolicy(cfg=cfg, clock=clock, table=self.table)
        self._trials = CrashTrials(
            longest_delay=cfg.crash_doubt_ms / _MS_PER_S,
            seed=rng.random(),
            clock=clock,
            table=self.table,
            policy=self._policy,
        )
        self._completions = RecentCompletions(
            capacity=cfg.crash_table_size,
            retention=cfg.crash_settle_ms / _MS_PER_S,
            clock=clock,
        )

    def record_death(self, fingerprints: Iterable[str]) -> None:
        """Count the death of a target against all requests in flight on it."""
        death = self._rng.randbytes(_DEATH_ID_BYTES).hex()
        # Those with most crashes first, before the others evict them.
        suspects = sorted(
            frozenset(fingerprints),
            key=lambda one: (-len(self.table.find(one).deaths), one),
        )
        for fingerprint in suspects:
            suspect = self.table.find(fingerprint)
            self.table.put(self._policy.add_death(suspect, death))
        for suspected in suspects:
            self.table.put(self._policy.quarantine(self.table.find(suspected)))

    def record_completion(self, fingerprint: str) -> bool:
        """Clear a request that completed; return whether it was suspected."""
        self._completions.add(fingerprint)
        record = self.table.find(fingerprint)
        is_suspect = bool(record.deaths) and record.is_current(self._clock())
        if is_suspect:
            self.lift(fingerprint)
        return is_suspect

    @property
    def has_suspects(self) -> bool:
        """Return whether any request is suspected."""
        return self.table.has_suspects

    def find_wait(self, fingerprint: str) -> float:
        """Return the rest of a request's quarantine in seconds, or zero."""
        record = self.table.find(fingerprint)
        if record.rank == CrashRank.AMBIGUOUS:
            record = self._reconsider(record)
        return max(record.refused_until - self._clock(), 0)

    def find_trial_wait(self, fingerprint: str) -> float:
        """Return the seconds until the local target may run a request."""
        wait = self.find_wait(fingerprint)
        return max(wait, self._trials.find_wait(self.table.find(fingerprint)))

    def begin_trial(self, fingerprint: str) -> bool:
        """Refuse a request elsewhere while the local target tries it.

        Return whether it needs a trial; any other request is not affected.
        """
        return self._trials.begin(self.table.find(fingerprint))

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
        remaining = record.refused_until - self._clock()
        elapsed_ms = self._cfg.crash_doubt_ms - remaining * _MS_PER_S
        is_settled = elapsed_ms >= self._cfg.crash_settle_ms
        if is_settled and not self.table.is_ambiguous(record):
            self.table.put(self._policy.quarantine(record))
        return self.table.find(record.fingerprint)
