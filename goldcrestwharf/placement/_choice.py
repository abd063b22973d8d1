"""Choose the target for a request.

Answers the load of days on which the targets of one zone are full while
others have room, and of targets of unlike speed, by the risk that the answer
is late rather than by counts of requests.
"""

import math
import random
from collections.abc import Iterable

import attrs

from goldcrestwharf.placement._load import LoadView

#: Times by which a target that was just started is slower.
_COLD_FACTOR = 2.0

#: Share of the expected time drawn at random, so that daemons that see the
#: same loads don't all choose the same target.
_SPREAD = 0.15

#: Risk of a late answer when the expected time equals the objective, and the
#: power by which it falls below, for times that spread as log-normal ones do.
_RISK_AT_OBJECTIVE = 0.45
_RISK_POWER = 2.3

#: Weight of the time itself, so that of two targets without risk the faster
#: one is chosen.
_TIME_WEIGHT = 0.1

#: Cost of leaving the own zone, in answers that come late: for each request
#: and for each kilobyte, since bytes between zones are charged.
_CROSSING_COST = 0.02
_CROSSING_COST_PER_KB = 0.09

#: Bytes of heads that travel with each request and its answer.
_HEAD_BYTES = 600

_KB = 1024


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

    ``objective`` is the time for a good answer, in seconds. ``size`` and
    ``length`` are the traits of its kind. ``tried`` names the daemons not
    to choose again.
    """

    objective: float
    size: float = 0
    length: float = 1
    tried: frozenset[str] = frozenset()


@attrs.frozen(kw_only=True)
class Choice:
    """Hold the chosen place, and what is expected there, in seconds."""

    place: Place
    wait: float
    hold: float


class Placement:
    """Choose by the risk of a late answer, own zone first."""

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
        return Choice(place=best, wait=best.load.wait, hold=best.load.hold)

    def _cost(self, place: Place, demand: Demand, now: float) -> float:
        hold = place.load.hold * demand.length
        if place.cold_until > now:
            hold *= _COLD_FACTOR
        spread = 1 + _SPREAD * self._rng.random()
        lateness = (place.load.wait + hold) * spread / demand.objective
        cost = _find_risk(lateness) + place.load.report.failure_share
        return cost if place.is_own_zone else cost + _find_crossing(demand)


def _find_risk(lateness: float) -> float:
    """Return the risk of a late answer at a share of the objective."""
    risk = _RISK_AT_OBJECTIVE * math.pow(lateness, _RISK_POWER)
    return risk + lateness * _TIME_WEIGHT


def _find_crossing(demand: Demand) -> float:
    moved = (demand.size + _HEAD_BYTES) / _KB
    return _CROSSING_COST + moved * _CROSSING_COST_PER_KB
