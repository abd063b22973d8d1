"""Decide when a suspect counts as dead."""

import math

import attrs

#: With it a daemon in bad health multiplies its timeouts by 9.
_MAX_HEALTH_SCORE = 8


class LocalHealth:
    """Score for the reliability of this daemon's own probes.

    The score is zero for a daemon in good health. It rises with probes that
    no member answered, with suspicions that had to be refuted and after a
    pause of the process.
    """

    def __init__(self) -> None:
        """Start in good health."""
        self._score = 0

    def record_answer(self) -> None:
        """Record a probe that was answered."""
        self._score = max(self._score - 1, 0)

    def record_failure(self) -> None:
        """Record a sign that this daemon itself is slow or cut off."""
        self._score = min(self._score + 1, _MAX_HEALTH_SCORE)

    def record_pause(self) -> None:
        """Record that the process did not run for a while."""
        self._score = _MAX_HEALTH_SCORE

    def factor(self) -> int:
        """Return the factor for timeouts, from 1 to 9."""
        return self._score + 1


@attrs.frozen(kw_only=True)
class ZoneScaling:
    """Timeouts and counts that grow with the size of the zone.

    ``period`` is in seconds.
    """

    period: float
    suspicion_factor: int
    gossip_factor: int

    def base_suspicion_timeout(self, members: int) -> float:
        """Return the suspicion timeout in seconds, in good health."""
        return self.suspicion_factor * self.period * _scale(members)

    def max_transmissions(self, members: int) -> int:
        """Return how often a change is sent."""
        return math.ceil(self.gossip_factor * _scale(members))


@attrs.frozen(kw_only=True)
class ExpiredSuspicions:
    """Suspects to ping a last time and those that count as dead."""

    in_grace: list[str] = attrs.field(factory=list)
    dead: list[str] = attrs.field(factory=list)


@attrs.frozen(kw_only=True)
class SilentCounts:
    """Numbers of members that stopped answering recently."""

    suspects: int
    deaths: int


@attrs.define(kw_only=True)
class _Deadline:
    """Time when a suspect counts as dead and whether it had the last ping."""

    ends_at: float
    has_grace: bool = False


class Suspicions:
    """Deadlines of the suspects and the recent deaths."""

    def __init__(self) -> None:
        """Start without any suspect."""
        self._deadlines: dict[str, _Deadline] = {}
        self._deaths: dict[str, float] = {}

    def start(self, vm: str, deadline: float) -> None:
        """Set the deadline of ``vm`` unless it has one already."""
        if vm not in self._deadlines:
            self._deadlines[vm] = _Deadline(ends_at=deadline)

    def clear(self, vm: str) -> None:
        """Drop the suspicion of ``vm``."""
        self._deadlines.pop(vm, None)
        self._deaths.pop(vm, None)

    def extend(self, seconds: float) -> None:
        """Move all deadlines after a pause in which nothing was received."""
        for deadline in self._deadlines.values():
            deadline.ends_at += seconds

    def due(self, now: float, *, grace: float) -> ExpiredSuspicions:
        """Return the suspects whose deadline has passed.

        Each is pinged once more first and gets ``grace`` more seconds.
        """
        due = ExpiredSuspicions()
        for vm, deadline in self._deadlines.items():
            if deadline.ends_at > now:
                continue
            if deadline.has_grace:
                due.dead.append(vm)
            else:
                due.in_grace.append(vm)
                deadline.has_grace = True
                deadline.ends_at = now + grace
        return due

    def record_death(self, vm: str, now: float) -> None:
        """Drop ``vm``; if it was a suspect, count a recent death."""
        if self._deadlines.pop(vm, None) is not None:
            self._deaths[vm] = now

    def count_silent(self, since: float) -> SilentCounts:
        """Count the suspects and the deaths after ``since``."""
        for vm, died_at in tuple(self._deaths.items()):
            if died_at <= since:
                self._deaths.pop(vm)
        return SilentCounts(
            suspects=len(self._deadlines), deaths=len(self._deaths)
        )


def _scale(members: int) -> float:
    return max(math.log10(max(members, 1)), 1)
