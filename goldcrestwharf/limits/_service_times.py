"""Average service time of the requests of one target."""

_LATEST_WEIGHT = 0.1


class ServiceTimes:
    """Exponentially weighted average of service times."""

    def __init__(self) -> None:
        """Start without samples; the expected wait is zero until the first."""
        self._average: float | None = None

    def add(self, seconds: float) -> None:
        """Add the service time of one request."""
        if self._average is None:
            self._average = seconds
            return
        self._average += _LATEST_WEIGHT * (seconds - self._average)

    def expected_wait(self, ahead: int, slots: int) -> float:
        """Return the queue wait in seconds behind ``ahead`` other requests."""
        return (self._average or 0) * (ahead + 1) / max(slots, 1)
