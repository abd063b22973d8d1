"""Space out attempts after failures.

The wait is drawn evenly between zero and a bound that doubles with each
failure ("full jitter"), so that a herd of clients spreads out.
"""

import random

_MAX_DOUBLINGS = 16


class Backoff:
    """Tell when the next attempt may be made; times are in seconds."""

    def __init__(
        self,
        *,
        base: float,
        cap: float,
        rng: random.Random,
    ) -> None:
        """Let the bound grow from ``base`` up to ``cap``."""
        self._base = base
        self._cap = cap
        self._rng = rng
        self._failures = 0
        self._retry_at = float('-inf')

    def note_failure(self, now: float) -> float:
        """Record a failure at ``now`` and return the wait drawn for it."""
        doublings = min(self._failures, _MAX_DOUBLINGS)
        bound = min(self._base * 2**doublings, self._cap)
        wait = self._rng.uniform(0, bound)
        self._failures += 1
        self._retry_at = now + wait
        return wait

    def note_success(self) -> None:
        """Forget all failures."""
        self._failures = 0
        self._retry_at = float('-inf')

    def remaining(self, now: float) -> float:
        """Return the seconds until the next attempt, zero if it may be now."""
        return max(self._retry_at - now, 0)
