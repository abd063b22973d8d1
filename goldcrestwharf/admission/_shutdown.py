"""Admission of requests while the daemon shuts down."""

from collections.abc import Callable

#: Multiple of a request's expected service time that must remain before the
#: daemon exits. Service times vary, and nearly every admitted request has to
#: be answered.
_SERVICE_TIME_MARGIN = 2.5

#: Multiple of the longest recent time that must remain. The next request may
#: take a little longer, and its daemon has to send the answer.
_LONGEST_TIME_MARGIN = 1.2

#: Fraction of the time until the exit after which a request has to fit with all
#: the time that it may take. Until then callers may not know of the shutdown,
#: and hardly any request takes longer than those before it.
_LENIENT_FRACTION = 0.5


class Shutdown:
    """When the daemon exits, once its shutdown has begun.

    Callers without another daemon keep sending requests until the exit. A
    request that couldn't finish in time is refused instead of being cut off.
    """

    def __init__(self, *, clock: Callable[[], float]) -> None:
        """Initialize a daemon that isn't shutting down."""
        self._clock = clock
        self._ends_at: float | None = None
        self._lenient_until: float = 0

    @property
    def has_begun(self) -> bool:
        """Return whether the daemon is shutting down."""
        return self._ends_at is not None

    def begin(self, ends_at: float, *, began_at: float | None = None) -> None:
        """Schedule the exit at a monotonic time, in seconds.

        The shutdown counts from ``began_at``, or from now.
        """
        start = self._clock() if began_at is None else began_at
        self._ends_at = ends_at
        self._lenient_until = start + (ends_at - start) * _LENIENT_FRACTION

    def may_outlast_another(self, time_left: float) -> bool:
        """Return whether another daemon that shuts down may end a request.

        ``time_left`` is the longest time, in seconds, that it may take. The
        other one admits it by its expected time up to the same fraction of a
        grace period that is taken to be as long.
        """
        if self._ends_at is None:
            return False
        return time_left > self._ends_at - self._lenient_until

    def admits(
        self, service_time: float, *, time_left: float, longest: float = 0
    ) -> bool:
        """Return whether a request of an expected time, in s, may start.

        ``time_left`` is the longest time, in seconds, that it may take, and
        ``longest`` the one that a request of its class took recently.
        """
        if self._ends_at is None:
            return True
        now = self._clock()
        likely = min(longest * _LONGEST_TIME_MARGIN, time_left)
        needed = time_left if now > self._lenient_until else likely
        expected = service_time * _SERVICE_TIME_MARGIN
        return now + max(expected, needed) < self._ends_at
