"""Admission of requests while the daemon shuts down."""

from collections.abc import Callable

#: Multiple of a request's expected service time that must remain before the
#: daemon exits. Service times vary, and nearly every admitted request has to
#: be answered.
_SERVICE_TIME_MARGIN = 2.5


class Shutdown:
    """When the daemon exits, once its shutdown has begun.

    Callers without another daemon keep sending requests until the exit. A
    request that couldn't finish in time is refused instead of being cut off.
    """

    def __init__(self, *, clock: Callable[[], float]) -> None:
        """Initialize a daemon that isn't shutting down."""
        self._clock = clock
        self._ends_at: float | None = None

    @property
    def has_begun(self) -> bool:
        """Return whether the daemon is shutting down."""
        return self._ends_at is not None

    def begin(self, ends_at: float) -> None:
        """Schedule the exit at a monotonic time, in seconds."""
        self._ends_at = ends_at

    def admits(self, service_time: float) -> bool:
        """Return whether a request of an expected time, in s, may start."""
        if self._ends_at is None:
            return True
        return (
            self._clock() + service_time * _SERVICE_TIME_MARGIN < self._ends_at
        )
