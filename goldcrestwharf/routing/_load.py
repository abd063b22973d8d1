"""Load estimate of a target between two load reports."""

from goldcrestwharf.limits import TargetLoad


class LoadEstimate:
    """Estimate from a target's last load report and the requests since.

    Each answer carries a report, so it is recent for busy targets. The part
    of the load caused by other daemons decays with a half-life in seconds,
    so that a target that was full once is tried again.
    """

    def __init__(self, *, half_life: float) -> None:
        """Start with no load."""
        self._half_life = half_life
        self._other_requests: float = 0
        self._reported_at: float = 0
        self.outstanding = 0

    def start_request(self) -> None:
        """Count a request sent to the target."""
        self.outstanding += 1

    def finish_request(self) -> None:
        """Count a request as finished."""
        self.outstanding = max(self.outstanding - 1, 0)

    def update(self, load: TargetLoad, now: float) -> None:
        """Update the estimate from a report of the target's daemon."""
        reported = load.in_use + load.queued
        self._other_requests = max(reported - self.outstanding, 0)
        self._reported_at = now

    def requests(self, now: float) -> float:
        """Return the estimated number of requests at the target."""
        if not self._other_requests:
            return self.outstanding
        age = max(now - self._reported_at, 0)
        return self.outstanding + self._other_requests / 2 ** (
            age / self._half_life
        )
