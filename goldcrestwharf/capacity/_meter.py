"""Mean number of requests or calls in progress over a time."""

from collections.abc import Callable

import attrs


@attrs.frozen(kw_only=True)
class MeterReading:
    """State of a meter; ``total`` is the integral of the count, in seconds."""

    at: float
    total: float
    count: int


class ConcurrencyMeter:
    """Count of what is in progress, and its integral over time."""

    def __init__(self, *, clock: Callable[[], float]) -> None:
        """Start with a count of zero; ``clock`` returns monotonic seconds."""
        self.count = 0
        self._clock = clock
        self._changed_at = clock()
        self._total: float = 0

    def change(self, difference: int) -> None:
        """Add ``difference`` to the count."""
        self._advance()
        self.count += difference

    def read(self) -> MeterReading:
        """Return the state, as the begin of a time to measure."""
        self._advance()
        return MeterReading(
            at=self._changed_at, total=self._total, count=self.count
        )

    def mean_since(self, begin: MeterReading) -> float:
        """Return the mean count since a reading."""
        self._advance()
        elapsed = self._changed_at - begin.at
        if elapsed <= 0:
            return self.count
        return (self._total - begin.total) / elapsed

    def _advance(self) -> None:
        now = self._clock()
        self._total += self.count * (now - self._changed_at)
        self._changed_at = now
