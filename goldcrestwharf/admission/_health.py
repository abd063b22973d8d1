"""Track a target's health from the outcomes of its requests."""

import math

#: Weight of a new outcome in the moving average of failures.
_OUTCOME_WEIGHT = 0.08

#: Half-life, in seconds, of the failure share while no outcomes arrive. A
#: target that was avoided because of failures gets requests again this way.
_HALF_LIFE_S = 4.0

#: Seconds between two connection attempts to a target that is down.
_RETRY_INTERVAL_S = 0.4


class TargetHealth:
    """Recent failure share of a target, and whether it accepts connections.

    Outcomes of real requests take precedence over the health that a target
    reports for itself.
    """

    def __init__(self) -> None:
        """Initialize the target as healthy."""
        self._failure_share: float = 0
        self._updated_at: float = 0
        self._down_since: float | None = None
        self._attempted_at: float = 0

    @property
    def is_down(self) -> bool:
        """Return whether the last connection attempt failed."""
        return self._down_since is not None

    def reset(self) -> None:
        """Clear the failure share, after the target process was replaced."""
        self._failure_share = 0

    def failure_share(self, now: float) -> float:
        """Return the recent share of failures, 0 to 1."""
        half_lives = (now - self._updated_at) / _HALF_LIFE_S
        return self._failure_share * math.pow(2, -half_lives)

    def record_outcome(self, *, has_failed: bool, now: float) -> None:
        """Update the failure share with the outcome of a request."""
        share = self.failure_share(now)
        self._failure_share = (
            share + (float(has_failed) - share) * _OUTCOME_WEIGHT
        )
        self._updated_at = now

    def record_connected(self) -> None:
        """Mark the target as reachable."""
        self._down_since = None

    def record_unreachable(self, now: float) -> bool:
        """Mark the target as down; return whether it was up before."""
        was_up = self._down_since is None
        self._attempted_at = now
        if was_up:
            self._down_since = now
        return was_up

    def allows_attempt(self, now: float) -> bool:
        """Return whether a request may be sent to the target.

        While the target is down, one request per retry interval is let
        through to find out whether it is back.
        """
        if self._down_since is None:
            return True
        if now - self._attempted_at < _RETRY_INTERVAL_S:
            return False
        self._attempted_at = now
        return True
