"""Requests that may have caused the crash of a target."""

from collections import deque
from collections.abc import Callable

import attrs

#: Seconds for which a request whose connection broke is a suspect. The
#: connections to a crashed process break together, and the crash is confirmed
#: by the next connection attempt.
_LOSS_WINDOW_S = 2.0

#: Maximum number of lost requests kept.
_MAX_LOSSES = 256


@attrs.define(kw_only=True, eq=False)
class RunningRequest:
    """Request that was sent to the target and isn't answered.

    ``find_fingerprints`` is called only if the target crashes. ``is_counted``
    is set once the request was counted as a suspect.
    """

    find_fingerprints: Callable[[], tuple[str, ...]]
    is_counted: bool = False

    def count(self) -> tuple[str, ...]:
        """Mark the request as counted and return its fingerprints."""
        self.is_counted = True
        return self.find_fingerprints()


class CrashEvidence:
    """Requests in progress on one target, and those that it just lost."""

    def __init__(self, *, clock: Callable[[], float]) -> None:
        """Start without requests; ``clock`` returns monotonic seconds."""
        self._clock = clock
        self._running: set[RunningRequest] = set()
        self._lost: deque[tuple[float, RunningRequest]] = deque(
            maxlen=_MAX_LOSSES
        )

    def begin(self, running: RunningRequest) -> None:
        """Add a request that is sent to the target."""
        self._running.add(running)

    def end(self, running: RunningRequest, *, is_lost: bool) -> None:
        """Remove a request; ``is_lost`` if its connection broke."""
        self._running.discard(running)
        if is_lost:
            self._lost.append((self._clock(), running))

    def take_suspects(self) -> frozenset[str]:
        """Return the fingerprints of the suspects of a crash.

        Each request is a suspect of one crash at most.
        """
        earliest = self._clock() - _LOSS_WINDOW_S
        suspects = {running for at, running in self._lost if at >= earliest}
        self._lost.clear()
        suspects |= self._running
        return frozenset(
            fingerprint
            for suspect in suspects
            if not suspect.is_counted
            for fingerprint in suspect.count()
        )
