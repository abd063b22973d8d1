"""Limits on retries, to prevent retry storms.

When targets fail or refuse requests, the retries of all daemons together may
add only a fraction to the load of first attempts.
"""

import math
from collections import deque

import attrs

#: Fraction of the common budget that daemons use for their own retries. The
#: rest is left for the calls that a target makes again while it runs a retried
#: request.
_DAEMON_FRACTION = 0.5


@attrs.frozen(kw_only=True)
class RetryBudgetTerms:
    """Retries of one service that all daemons together may make.

    In each ``window`` (seconds), ``ratio`` times the number of first
    attempts, plus ``slack`` retries.
    """

    ratio: float
    slack: float
    window: float


class RetryBudget:
    """Local share of the retry budget of one service.

    Each of ``members`` daemons gets an equal share of the slack, and the
    ratio applies to its own first attempts. The sum over all daemons thus
    stays within the terms, even during a partition.
    """

    def __init__(self, *, terms: RetryBudgetTerms) -> None:
        """Create an unused budget."""
        self._terms = terms
        self._first_attempts: dict[int, int] = {}
        self._retries: deque[float] = deque()

    def record_first_attempt(self, now: float) -> None:
        """Count a first attempt."""
        second = math.floor(now)
        if second not in self._first_attempts:
            self._expire_seconds(now)
        self._first_attempts[second] = self._first_attempts.get(second, 0) + 1

    def allows_retry(self, *, members: int, now: float) -> bool:
        """Return whether another retry is within the budget."""
        earliest = now - self._terms.window
        while self._retries and self._retries[0] <= earliest:
            self._retries.popleft()
        return len(self._retries) + 1 <= self._allowance(members, now)

    def record_retry(self, now: float) -> None:
        """Count a retry."""
        self._retries.append(now)

    def _allowance(self, members: int, now: float) -> float:
        earliest = now - self._terms.window
        first_attempts = sum(
            count
            for second, count in self._first_attempts.items()
            if second > earliest
        )
        slack = self._terms.slack / max(members, 1)
        return (self._terms.ratio * first_attempts + slack) * _DAEMON_FRACTION

    def _expire_seconds(self, now: float) -> None:
        earliest = now - self._terms.window
        self._first_attempts = {
            second: count
            for second, count in self._first_attempts.items()
            if second > earliest
        }
