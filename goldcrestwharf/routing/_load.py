"""Estimate how busy a target is between two reports of its load."""

from goldcrestwharf.limits import TargetLoad


class LoadEstimate:
    """Combine a target's last reported load with what was sent since.

    The report comes with each answer, so it is fresh for busy targets. The
    part of it that other daemons caused loses half its weight with each
    half-life (seconds), so that a target that once was full is tried again.
    """

    def __init__(self, *, half_life: float) -> None:
        """Start idle."""
        self._half_life = half_life
        self._others: float = 0
        self._reported_at: float = 0
        self.outstanding = 0

    def begin(self) -> None:
        """Count a request that is sent to the target."""
        self.outstanding += 1

    def end(self) -> None:
        """Count out a request that has ended."""
        self.outstanding = max(self.outstanding - 1, 0)

    def report(self, load: TargetLoad, now: float) -> None:
        """Take in what the target's daemon said."""
        reported = load.in_use + load.queued
        self._others = max(reported - self.outstanding, 0)
        self._reported_at = now

    def requests(self, now: float) -> float:
        """Return the estimated number of requests at the target."""
        if not self._others:
            return self.outstanding
        age = max(now - self._reported_at, 0)
        return self.outstanding + self._others / 2 ** (age / self._half_life)
