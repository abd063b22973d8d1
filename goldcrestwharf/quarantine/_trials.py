"""Trials of requests whose quarantine is over."""

import random
from collections.abc import Callable

from goldcrestwharf.quarantine._fingerprint import drop_caller
from goldcrestwharf.quarantine._policy import QuarantinePolicy
from goldcrestwharf.quarantine._record import CrashRank, CrashRecord
from goldcrestwharf.quarantine._table import CrashTable


class CrashTrials:
    """Trials by which a request returns from its quarantine.

    A request that shared its crashes with another one may be harmless, and one
    that crashed targets may have been mended. One target tries it, while it is
    refused elsewhere. Daemons begin at different moments, so that the first
    trial is known before the next daemon would begin one.
    """

    def __init__(
        self,
        *,
        longest_delay: float,
        seed: float,
        clock: Callable[[], float],
        table: CrashTable,
        policy: QuarantinePolicy,
    ) -> None:
        """Begin up to ``longest_delay`` seconds after the quarantine.

        ``seed`` differs between daemons.
        """
        self._longest_delay = longest_delay
        self._seed = seed
        self._clock = clock
        self._table = table
        self._policy = policy

    def find_wait(self, record: CrashRecord) -> float:
        """Return the seconds until the trial may begin on this daemon."""
        if not self._is_needed(record):
            return 0
        begins_at = record.refused_until + self._find_delay(record)
        return max(begins_at - self._clock(), 0)

    def begin(self, record: CrashRecord) -> bool:
        """Refuse a request during its trial; return whether it needs one."""
        is_needed = self._is_needed(record)
        if is_needed:
            self._table.put(self._policy.extend(record))
        return is_needed

    def _is_needed(self, record: CrashRecord) -> bool:
        was_quarantined = record.rank > CrashRank.SUSPECTED
        return was_quarantined and record.is_current(self._clock())

    def _find_delay(self, record: CrashRecord) -> float:
        request = drop_caller(record.fingerprint)
        draw = random.Random(f'{self._seed} {request}')
        return draw.uniform(0, self._longest_delay)
