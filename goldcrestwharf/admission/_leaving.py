"""Decide which requests a daemon that stops still takes."""

from collections.abc import Callable

#: Times a request's usual length that has to be left before the end, so that
#: nearly all that are taken are also answered.
_SAFETY = 2.5


class Leaving:
    """Hold when a daemon ends, once it has been told to stop.

    Answers planned stops under load: callers that have nowhere else to go
    come until the end, and none of their requests may be cut off by it.
    """

    def __init__(self, *, clock: Callable[[], float]) -> None:
        """Take requests without end."""
        self._clock = clock
        self._ends_at: float | None = None

    @property
    def has_begun(self) -> bool:
        """Tell whether the daemon was told to stop."""
        return self._ends_at is not None

    def begin(self, ends_at: float) -> None:
        """End at a monotonic time, in seconds."""
        self._ends_at = ends_at

    def takes(self, usual: float) -> bool:
        """Tell whether a request of a usual length, in seconds, may begin."""
        if self._ends_at is None:
            return True
        return self._clock() + usual * _SAFETY < self._ends_at
