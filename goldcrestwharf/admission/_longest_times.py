"""Longest recent times that requests took."""

from collections.abc import Callable

#: Seconds for which a sample counts at least.
_WINDOW_S = 60.0

#: Request classes with a maximum of their own; further classes have none.
_MAX_REQUEST_CLASSES = 1024


class LongestTimes:
    """Longest times of requests, in seconds, by request class.

    A mean says little about the request that takes longest, which is the one
    that a shutdown cuts off. A sample counts for one to two windows.
    """

    def __init__(self, *, clock: Callable[[], float]) -> None:
        """Start without samples."""
        self._clock = clock
        self._began_at = clock()
        self._current: dict[str, float] = {}
        self._previous: dict[str, float] = {}

    def record(self, request_class: str, seconds: float) -> None:
        """Add a sample, also one of a request that was given up."""
        self._rotate()
        current = self._current
        is_known = request_class in current
        if is_known or len(current) < _MAX_REQUEST_CLASSES:
            current[request_class] = max(seconds, current.get(request_class, 0))

    def find(self, request_class: str) -> float:
        """Return the longest time of a class, zero if none is known."""
        self._rotate()
        return max(
            self._current.get(request_class, 0),
            self._previous.get(request_class, 0),
        )

    def _rotate(self) -> None:
        now = self._clock()
        age = now - self._began_at
        if age < _WINDOW_S:
            return
        is_recent = age < _WINDOW_S * 2
        self._previous = self._current if is_recent else {}
        self._current = {}
        self._began_at = now
