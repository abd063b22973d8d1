"""Exponential backoff with full jitter.

The wait is uniformly random between zero and a bound that doubles with each
failure, so that clients that failed together don't retry together.
"""

import random

_MAX_DOUBLINGS = 16


class Backoff:
    """Backoff after consecutive failures; times are in seconds."""

    def __init__(
        self,
        *,
        base: float,
        cap: float,
        rng: random.Random,
    ) -> None:
        """Start with a bound of ``base`` that grows up to ``cap``."""
        self._base = base
        self._cap = cap
        self._rng = rng
        self._failures = 0
        self._retry_at = float('-inf')

    def record_failure(self, now: float) -> float:
        """Record a failure at ``now`` and return the wait until a retry."""
        doublings = min(self._failures, _MAX_DOUBLINGS)
        bound = min(self._base * 2**doublings, self._cap)
        wait = self._rng.uniform(0, bound)
        self._failures += 1
        self._retry_at = now + wait
        return wait

    def record_success(self) -> None:
        """Reset the bound and the wait."""
        self._failures = 0
        self._retry_at = float('-inf')

    def remaining(self, now: float) -> float:
        """Return the seconds until an attempt is allowed, at least zero."""
        return max(self._retry_at - now, 0)
