"""Choose the target for a request.

Answers the load of days on which the targets of one zone are full while
others have room, and of targets of unlike speed, by the expected time to an
answer rather than by counts of requests.
"""

import random
from collections.abc import Iterable

import attrs

from goldcrestwharf.placement._load import LoadView

#: Times by which a target that was just started is slower.
_COLD_FACTOR = 2.0

#: Share of the hold time drawn at random, so that daemons that see the same
#: loads don't all choose the same target.
_SPREAD = 0.15


@attrs.define(kw_only=True, eq=False)
class Place:
    """Describe a target and the daemon beside it.

    ``cold_until`` is a monotonic time in seconds.
    """

    daemon: str
    instance_id: str
    service: str
    is_own_zone: bool
    is_draining: bool
    cold_until: float
    load: LoadView


@attrs.frozen(kw_only=True)
class Demand:
    """State what a request needs.

    ``objective`` and ``left`` are in seconds: the time for a good answer
    and what is left for any. ``zone_preference`` is the share of the
    objective that staying in the own zone is worth, and ``tried`` names the
    daemons not to choose again.
    """

    objective: float
    left: float
    zone_preference: float = 0
    tried: frozenset[str] = frozenset()


@attrs.frozen(kw_only=True)
class Choice:
    """Hold the chosen place and the expected time to an answer."""

    place: Place
    wait: float
    answer_in: float


class Placement:
    """Choose by the expected time to an answer, own zone first."""

    def __init__(self, *, rng: random.Random) -> None:
        """Draw the spread from ``rng``."""
        self._rng = rng

    def choose(
        self,
        places: Iterable[Place],
        demand: Demand,
        now: float,
    ) -> Choice | None:
        """Return the best place, ``None`` if there is none to try.

        A draining target is chosen only if there is no other.
        """
        allowed = [
            place for place in places if place.daemon not in demand.tried
        ]
        ready = [place for place in allowed if not place.is_draining]
        candidates = ready or allowed
        if not candidates:
            return None
        costs = [self._cost(place, demand, now) for place in candidates]
        best = candidates[costs.index(min(costs))]
        return Choice(
            place=best,
            wait=best.load.wait,
            answer_in=best.load.wait + best.load.hold,
        )

    def _cost(self, place: Place, demand: Demand, now: float) -> float:
        load = place.load
        slowness = _COLD_FACTOR if place.cold_until > now else 1
        hold = load.hold * slowness
        spread = 1 + _SPREAD * self._rng.random()
        cost = load.wait + hold * spread
        if not place.is_own_zone:
            cost += demand.objective * demand.zone_preference
        # A failure costs the time until it shows and another try.
        return cost + load.report.failure_share * demand.objective
