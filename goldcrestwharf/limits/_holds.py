"""Follow how long requests hold a slot."""

_WEIGHT_OF_LATEST = 0.1


class HoldTimes:
    """Average the hold times, the latest ones weighing most."""

    def __init__(self) -> None:
        """Start without a hold time; waits are expected to be zero then."""
        self._average: float | None = None

    def note(self, seconds: float) -> None:
        """Take in one hold time."""
        if self._average is None:
            self._average = seconds
            return
        self._average += _WEIGHT_OF_LATEST * (seconds - self._average)

    def expect_wait(self, ahead: int, slots: int) -> float:
        """Return the seconds until a slot is free behind ``ahead`` others."""
        return (self._average or 0) * (ahead + 1) / max(slots, 1)
