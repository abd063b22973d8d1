"""Decide when a member under suspicion counts as dead."""

import math

import attrs

#: The greatest factor by which a daemon in bad health widens its time-outs.
_MAX_HEALTH_SCORE = 8


class LocalHealth:
    """Rate how far this daemon's own probes can be trusted.

    The score is zero for a daemon in good health. It rises with probes that
    no member answered, with suspicions that had to be refuted and after a
    pause of the process.
    """

    def __init__(self) -> None:
        """Start in good health."""
        self._score = 0

    def note_good(self) -> None:
        """Record a probe that was answered."""
        self._score = max(self._score - 1, 0)

    def note_bad(self) -> None:
        """Record a sign that this daemon itself is slow or cut off."""
        self._score = min(self._score + 1, _MAX_HEALTH_SCORE)

    def note_pause(self) -> None:
        """Record that the process did not run for a while."""
        self._score = _MAX_HEALTH_SCORE

    def factor(self) -> int:
        """Return what time-outs are to be multiplied by, from 1 to 9."""
        return self._score + 1


@attrs.frozen(kw_only=True)
class Pace:
    """Scale times and counts with the size of the zone.

    ``period`` is in seconds.
    """

    period: float
    suspicion_factor: int
    gossip_factor: int

    def suspicion_time(self, members: int) -> float:
        """Return the seconds until a suspect counts as dead."""
        return self.suspicion_factor * self.period * _scale(members)

    def transmissions(self, members: int) -> int:
        """Return how often a change is sent on."""
        return math.ceil(self.gossip_factor * _scale(members))


@attrs.frozen(kw_only=True)
class Due:
    """Name the suspects to be warned and those that count as dead."""

    warned: list[str] = attrs.field(factory=list)
    dead: list[str] = attrs.field(factory=list)


@attrs.frozen(kw_only=True)
class Tally:
    """Count the members that fell silent lately."""

    suspects: int
    deaths: int


@attrs.define(kw_only=True)
class _Deadline:
    """Hold when a suspect counts as dead and whether it was warned."""

    ends_at: float
    is_warned: bool = False


class Suspicions:
    """Keep the deadline of each suspect and the recent deaths."""

    def __init__(self) -> None:
        """Start without any suspect."""
        self._deadlines: dict[str, _Deadline] = {}
        self._deaths: dict[str, float] = {}

    def start(self, vm: str, deadline: float) -> None:
        """Let ``vm`` count as dead at ``deadline``, unless it is earlier."""
        if vm not in self._deadlines:
            self._deadlines[vm] = _Deadline(ends_at=deadline)

    def clear(self, vm: str) -> None:
        """Drop the suspicion of ``vm``."""
        self._deadlines.pop(vm, None)
        self._deaths.pop(vm, None)

    def extend(self, seconds: float) -> None:
        """Move all deadlines, after a pause in which nobody was heard."""
        for deadline in self._deadlines.values():
            deadline.ends_at += seconds

    def due(self, now: float, *, grace: float) -> Due:
        """Return the suspects whose deadline has passed.

        Each is warned first and gets ``grace`` more seconds to answer.
        """
        due = Due()
        for vm, deadline in self._deadlines.items():
            if deadline.ends_at > now:
                continue
            if deadline.is_warned:
                due.dead.append(vm)
            else:
                due.warned.append(vm)
                deadline.is_warned = True
                deadline.ends_at = now + grace
        return due

    def note_death(self, vm: str, now: float) -> None:
        """Drop ``vm``; if it was silent, it counts as a recent death."""
        if self._deadlines.pop(vm, None) is not None:
            self._deaths[vm] = now

    def tally(self, since: float) -> Tally:
        """Count the suspects and the deaths after ``since``."""
        for vm, died_at in tuple(self._deaths.items()):
            if died_at <= since:
                self._deaths.pop(vm)
        return Tally(suspects=len(self._deadlines), deaths=len(self._deaths))


def _scale(members: int) -> float:
    return max(math.log10(max(members, 1)), 1)
