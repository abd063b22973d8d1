"""Times of a roll-out, counted from its order."""

import attrs

#: Fractions of the duration: from when a version may be judged good, by when
#: its old targets should have stopped, and by when an order has ended.
_GOOD_FRACTION = 0.6
_MOVED_FRACTION = 0.85
_END_FRACTION = 0.95

#: Fraction of the duration after which a controller that reaches few daemons
#: ends an order: one that reaches most has ended it before.
_CUT_OFF_FRACTION = 0.97

#: Longest time in which requests move to the new version, in seconds and as a
#: fraction of the duration. Longer than requests run, so that none is in
#: flight at an old target that stops.
_MAX_MOVING_S = 2.5
_MAX_MOVING_FRACTION = 0.2

#: Least time in which the targets of a trial are used, in seconds and as a
#: fraction of the duration.
_MIN_ROTATION_S = 2.0
_ROTATION_FRACTION = 0.2


@attrs.frozen(kw_only=True)
class Schedule:
    """Times of an order of ``duration`` seconds, in seconds since it."""

    duration: float

    @property
    def good_from(self) -> float:
        """Return the earliest time of a good verdict."""
        return self.duration * _GOOD_FRACTION

    @property
    def moving_limit(self) -> float:
        """Return the longest time for which requests move."""
        return min(_MAX_MOVING_S, self.duration * _MAX_MOVING_FRACTION)

    @property
    def verdict_due(self) -> float:
        """Return the time by which a verdict rests on the evidence so far."""
        latest = self.duration * _MOVED_FRACTION - self.moving_limit
        return max(latest, self.good_from)

    @property
    def given_up_at(self) -> float:
        """Return the time after which the move would end too late."""
        latest = self.duration * _END_FRACTION - self.moving_limit
        return max(latest, self.verdict_due)

    @property
    def abandoned_at(self) -> float:
        """Return the time after which no other controller ends the order."""
        return self.duration * _CUT_OFF_FRACTION

    @property
    def rotation_period(self) -> float:
        """Return the time for which the targets of a trial are used."""
        return max(_MIN_ROTATION_S, self.duration * _ROTATION_FRACTION)
