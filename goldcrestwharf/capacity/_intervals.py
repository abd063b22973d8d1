"""Intervals between trials, longer after each trial that failed."""

import math


class TrialInterval:
    """Time from which a trial may begin, in monotonic seconds."""

    def __init__(self, *, shortest: float, longest: float) -> None:
        """Allow the first trial at once; the intervals are in seconds."""
        self._shortest = shortest
        self._longest = longest
        self._interval = shortest
        self._next_at = -math.inf

    def is_due(self, now: float) -> bool:
        """Return whether a trial may begin."""
        return now >= self._next_at

    def record_failure(self, now: float) -> None:
        """Wait, and twice as long after the next failure."""
        self._next_at = now + self._interval
        self._interval = min(self._interval * 2, self._longest)

    def postpone(self, next_at: float) -> None:
        """Allow no trial before ``next_at``."""
        self._next_at = next_at

    def reset(self, next_at: float = -math.inf) -> None:
        """Return to the shortest interval; allow a trial at ``next_at``."""
        self._interval = self._shortest
        self._next_at = next_at
