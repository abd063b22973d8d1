"""Latest times at which requests may start."""

import attrs

from goldcrestwharf.admission._flow import Queued
from goldcrestwharf.admission._ranks import is_short
from goldcrestwharf.admission._slot_request import SlotRequest
from goldcrestwharf.admission._slot_state import SlotState

#: Fraction of the time between objective and deadline that the expected answer
#: may use up during a burst.
_BURST_LATENESS_FRACTION = 0.4

#: Fraction of its mean service time below which a request with so much time
#: left is hopeless: hardly any request ends that early.
_HOPELESS_FRACTION = 0.5

#: Seconds before its deadline at which a queued request is refused at the
#: latest, so that the refusal reaches the caller's daemon in time.
_REPLY_MARGIN_S = 0.05

#: Fraction of the time left that the margin takes at most.
_MAX_REPLY_FRACTION = 0.25


@attrs.frozen(kw_only=True)
class Standing:
    """How a new request stands beside others.

    ``is_alone`` is set if none waits, and ``is_starved`` if far fewer requests
    of its class get a slot than of others.
    """

    is_alone: bool
    is_starved: bool


def find_latest_start(
    queued: Queued, state: SlotState, standing: Standing
) -> float:
    """Return the latest expected start at which to queue a request.

    The time that is likely to be needed must remain until the deadline; for a
    request that is alone, the mean time. During a standing overload it must
    remain until the objective, unless the request is the only one in the queue
    or its class is starved.
    """
    request = queued.request
    likely = state.service_times.likely_of(request.request_class)
    needed = queued.cost if standing.is_alone else likely
    latest = request.deadline_at - needed
    if is_short(queued.rank):
        return latest
    if state.is_overloaded and not standing.is_starved:
        soonest = state.now() + state.turnover
        return min(latest, max(request.objective_at - likely, soonest))
    return min(latest, _find_burst_end(request) - queued.cost)


def _find_burst_end(request: SlotRequest) -> float:
    late = max(request.deadline_at - request.objective_at, 0)
    return request.objective_at + late * _BURST_LATENESS_FRACTION


def find_last_chance(request: SlotRequest, state: SlotState) -> float:
    """Return the time after which a request is hopeless."""
    mean = state.service_times.mean_of(request.request_class)
    return request.deadline_at - mean * _HOPELESS_FRACTION


def find_expiry(request: SlotRequest, state: SlotState) -> float:
    """Return the time at which a queued request is refused."""
    left = max(request.deadline_at - state.now(), 0)
    margin = min(_REPLY_MARGIN_S, left * _MAX_REPLY_FRACTION)
    return min(find_last_chance(request, state), request.deadline_at - margin)
