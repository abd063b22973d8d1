"""Stop the requests that kill the targets that run them."""

import random
from collections.abc import Iterable

from goldcrestwharf.limits._completions import RecentCompletions
from goldcrestwharf.limits._crash_book import CrashBook
from goldcrestwharf.limits._crash_judge import CrashJudge
from goldcrestwharf.limits._crash_record import (
    CrashRank,
    CrashRecord,
    CrashVerdict,
)
from goldcrestwharf.limits._refusal import Refusal, RefusalReason
from goldcrestwharf.limits._settings import LimitSettings
from goldcrestwharf.timers import Timers

_DEATH_ID_BYTES = 8
_MS_PER_SECOND = 1000


class CrashGuard:
    """Refuse a request after it was in flight in several deaths.

    A daemon notes the deaths of the targets on its VM and gossips the
    updates that its :attr:`book` holds; peers :meth:`merge` them. A request
    that completes isn't what kills the targets, and is cleared everywhere,
    even if it completed shortly before the news of the deaths came.
    """

    def __init__(
        self,
        *,
        cfg: LimitSettings,
        timers: Timers,
        rng: random.Random,
    ) -> None:
        """Start without evidence."""
        self.book = CrashBook(capacity=cfg.crash_table_size, timers=timers)
        self._cfg = cfg
        self._timers = timers
        self._rng = rng
        self._judge = CrashJudge(cfg=cfg, timers=timers, book=self.book)
        self._completions = RecentCompletions(
            capacity=cfg.crash_table_size,
            memory=cfg.crash_settle_ms / _MS_PER_SECOND,
            timers=timers,
        )

    def note_death(self, fingerprints: Iterable[str]) -> None:
        """Hold the death of a target against all requests in flight."""
        death = self._rng.randbytes(_DEATH_ID_BYTES).hex()
        suspects = sorted(frozenset(fingerprints))
        for fingerprint in suspects:
            suspect = self.book.find(fingerprint)
            self.book.write(self._judge.blame(suspect, death))
        for blamed in suspects:
            self.book.write(self._judge.sentence(self.book.find(blamed)))

    def note_completed(self, fingerprint: str) -> None:
        """Clear a request that ran to its end."""
        self._completions.note(fingerprint)
        record = self.book.find(fingerprint)
        if record.deaths and record.is_current(self._timers.now()):
            self.lift(fingerprint)

    def verdict(self, fingerprint: str) -> Refusal | None:
        """Return the refusal of a request that kills targets."""
        record = self.book.find(fingerprint)
        if record.rank == CrashRank.DOUBTFUL:
            record = self._review(record)
        wait = record.refused_until - self._timers.now()
        if wait <= 0:
            return None
        return Refusal(reason=RefusalReason.KILLS_TARGETS, retry_after=wait)

    def merge(self, verdict: CrashVerdict) -> bool:
        """Take in what a peer says; tell whether it was news.

        Deaths that no single daemon knew of together are judged with doubt
        first, since the news of others in flight may still be on its way.
        """
        known = self.book.find(verdict.fingerprint)
        told = self._judge.read(verdict)
        merged = known.merge(told)
        if merged.deaths not in {known.deaths, told.deaths}:
            merged = self._judge.sentence(merged, is_doubtful=True)
        if merged.is_like(known):
            return False
        self.book.write(merged)
        if merged.deaths and self._completions.has(verdict.fingerprint):
            self.lift(verdict.fingerprint)
        return True

    def lift(self, fingerprint: str) -> None:
        """Forget the evidence; what peers still gossip of it is void."""
        record = self.book.find(fingerprint)
        self.book.write(self._judge.acquit(record))

    def _review(self, record: CrashRecord) -> CrashRecord:
        """Judge again once the news of others in flight has arrived."""
        doubt_ends = record.refused_until - self._timers.now()
        passed_ms = self._cfg.crash_doubt_ms - doubt_ends * _MS_PER_SECOND
        is_settled = passed_ms >= self._cfg.crash_settle_ms
        if is_settled and not self.book.has_companion(record):
            self.book.write(self._judge.sentence(record))
        return self.book.find(record.fingerprint)
