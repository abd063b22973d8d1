"""Load balancing: the choice of the target for a request.

Targets are compared by the risk that the answer is late instead of by request
counts. This moves load to other zones when the local targets are full, and
copes with targets of different speed.
"""

import math
import random
from collections.abc import Iterable

import attrs

from goldcrestwharf.placement._load import LoadEstimate
from goldcrestwharf.placement._sampling import draw_sample

#: Factor by which the service time is longer during slow start.
_SLOW_START_FACTOR = 2.0

#: Random fraction added to the expected time, so that daemons with the same
#: view of the loads don't all choose the same target.
_JITTER_FRACTION = 0.15

#: Risk of a late answer if the expected time equals the objective, and the
#: exponent by which it falls for shorter times. They fit service times with a
#: log-normal distribution.
_RISK_AT_OBJECTIVE = 0.45
_RISK_EXPONENT = 2.3

#: Weight of the expected time itself, so that the faster one of two targets
#: with negligible risk is chosen.
_TIME_WEIGHT = 0.1

#: Costs of a target in another zone, on the scale of the risk: per request and
#: per kilobyte, since traffic between zones is charged.
_CROSS_ZONE_COST = 0.02
_CROSS_ZONE_COST_PER_KB = 0.09

#: Approximate size of the heads of a request and its response.
_HEAD_BYTES = 600

_KB = 1024


@attrs.define(kw_only=True, eq=False)
class Candidate:
    """Target that a request could go to, and the daemon on its VM.

    ``slow_start_until`` is a monotonic time in seconds, and ``started_ms`` the
    start of the target in Unix milliseconds. ``is_suspect`` says that the
    daemon doesn't answer at present. ``version`` is that of the target's
    software, empty if unknown.
    """

    daemon: str
    instance_id: str
    service: str
    is_local_zone: bool
    is_draining: bool
    slow_start_until: float
    load: LoadEstimate
    started_ms: int = 0
    is_suspect: bool = False
    version: str = ''

    @property
    def process(self) -> tuple[str, int]:
        """Return the identity of this start of the target."""
        return (self.instance_id, self.started_ms)


@attrs.frozen(kw_only=True)
class Demand:
    """Requirements of a request.

    ``objective`` is the time for a good answer, in seconds. ``size`` and
    ``relative_time`` are the traits of the request class. ``tried`` names
    the daemons to exclude.
    """

    objective: float
    size: float = 0
    relative_time: float = 1
    tried: frozenset[str] = frozenset()


@attrs.frozen(kw_only=True)
class Choice:
    """Chosen candidate and its expected times, in seconds.

    ``needs_free_slot`` says that the request must not wait in its queue.
    """

    candidate: Candidate
    expected_wait: float
    service_time: float
    needs_free_slot: bool = False


class Placement:
    """Choice by the risk of a late answer, with a cost for other zones."""

    def __init__(self, *, rng: random.Random) -> None:
        """Draw the jitter from ``rng``."""
        self._rng = rng

    def choose(
        self,
        candidates: Iterable[Candidate],
        demand: Demand,
        now: float,
    ) -> Choice | None:
        """Return the best of a sample, ``None`` if all are excluded.

        A target whose daemon is suspect is chosen only if there is no other,
        and a draining one only if there is none of these either.
        """
        eligible = _find_eligible(candidates, demand)
        if not eligible:
            return None
        sample = draw_sample(eligible, self._rng)
        _assume_service_times(sample)
        costs = [self._cost(candidate, demand, now) for candidate in sample]
        best = sample[costs.index(min(costs))]
        return Choice(
            candidate=best,
            expected_wait=best.load.expected_wait,
            service_time=best.load.service_time,
        )

    def _cost(self, candidate: Candidate, demand: Demand, now: float) -> float:
        service_time = candidate.load.service_time * demand.relative_time
        if candidate.slow_start_until > now:
            service_time *= _SLOW_START_FACTOR
        jitter = 1 + _JITTER_FRACTION * self._rng.random()
        lateness = (
            (candidate.load.expected_wait + service_time)
            * jitter
            / demand.objective
        )
        cost = _find_risk(lateness) + candidate.load.report.failure_share
        return (
            cost
            if candidate.is_local_zone
            else cost + _find_cross_zone_cost(demand)
        )


def _find_eligible(
    candidates: Iterable[Candidate], demand: Demand
) -> list[Candidate]:
    allowed = [
        candidate
        for candidate in candidates
        if candidate.daemon not in demand.tried
    ]
    ready = [candidate for candidate in allowed if not candidate.is_draining]
    sound = [candidate for candidate in ready if not candidate.is_suspect]
    return sound or ready or allowed


def _assume_service_times(sample: Iterable[Candidate]) -> None:
    """Let targets without a service time count as the others on average.

    A target that has just joined would otherwise look better or worse to all
    daemons at once.
    """
    known = [
        candidate.load.report.service_time
        for candidate in sample
        if candidate.load.report.service_time
    ]
    if known:
        mean = sum(known) / len(known)
        for candidate in sample:
            candidate.load.assumed_service_time = mean


def _find_risk(lateness: float) -> float:
    """Return the risk for an expected time, as a fraction of the objective."""
    risk = _RISK_AT_OBJECTIVE * math.pow(lateness, _RISK_EXPONENT)
    return risk + lateness * _TIME_WEIGHT


def _find_cross_zone_cost(demand: Demand) -> float:
    transferred = (demand.size + _HEAD_BYTES) / _KB
    return _CROSS_ZONE_COST + transferred * _CROSS_ZONE_COST_PER_KB
