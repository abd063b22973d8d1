"""Selection of the target for the next attempt of a request."""

from collections.abc import Callable

import attrs

from goldcrestwharf.admission import (
    LongestTimes,
    Refusal,
    RefusalReason,
    Shutdown,
)
from goldcrestwharf.discovery import Departures
from goldcrestwharf.placement import (
    Candidate,
    Choice,
    Demand,
    FreeSlotSearch,
    Placement,
    RequestClassStats,
    find_local_choice,
)
from goldcrestwharf.proxy._crash_exchange import CrashExchange
from goldcrestwharf.proxy._departing import exclude_departed, record_departure
from goldcrestwharf.proxy._fleet import Fleet
from goldcrestwharf.proxy._outcomes import Ran
from goldcrestwharf.proxy._plan import Plan
from goldcrestwharf.rollouts import VersionShare
from goldcrestwharf.transfers import MAX_WHOLE_BYTES

#: Maximum number of daemons tried per request, including those that refuse.
_MAX_DAEMONS_TRIED = 6

#: The same after a search for a free slot. Its reports are fresh, so what the
#: best targets refuse the others hardly take.
_MAX_DAEMONS_AFTER_SEARCH = 3

#: Lower bound of an objective, in seconds, to avoid a division by zero.
_MIN_OBJECTIVE_S = 0.001


@attrs.frozen(kw_only=True)
class TargetSelector:
    """Target selection by load and by the traits of request classes."""

    fleet: Fleet
    placement: Placement
    request_classes: RequestClassStats
    shutdown: Shutdown
    longest_times: LongestTimes
    crash_exchange: CrashExchange
    departures: Departures
    versions: VersionShare
    clock: Callable[[], float]

    def select(self, plan: Plan) -> Choice | Refusal:
        """Return the choice for the next attempt, or the reason for none."""
        quarantined = self.crash_exchange.find_refusal(plan.head, plan.req.body)
        return quarantined or self._select_target(plan)

    def record(
        self,
        plan: Plan,
        choice: Choice,
        ran: Ran,
        began_at: float,
    ) -> None:
        """Record an attempt that ran; ``began_at`` is a monotonic time."""
        if ran.is_leaving:
            record_departure(choice.candidate, self.departures)
        if plan.runs == 1:
            self.versions.record_run(plan.service)
        service_time = self.clock() - began_at - choice.expected_wait
        self.request_classes.record(
            plan.route.name,
            size=len(plan.req.body) + len(ran.body),
            relative_time=service_time / choice.service_time,
        )

    def record_time(self, plan: Plan, began_at: float) -> None:
        """Record the time of an attempt, also of one that was cancelled."""
        self.longest_times.record(plan.route.name, self.clock() - began_at)

    def _select_target(self, plan: Plan) -> Choice | Refusal:
        objective = plan.route.objective
        now = self.clock()
        if not self._finishes_before_exit(plan, now):
            return Refusal(reason=RefusalReason.LEAVING, retry_after=objective)
        if plan.answer_due_at <= now:
            return Refusal(reason=RefusalReason.TOO_LATE)
        if len(plan.tried - plan.busy) >= _find_max_daemons(plan):
            return Refusal(reason=RefusalReason.OVERLOADED)
        choice = self._choose(plan, now)
        return choice or Refusal(
            reason=RefusalReason.NO_TARGET,
            retry_after=objective,
        )

    def _finishes_before_exit(self, plan: Plan, now: float) -> bool:
        """Return whether a request may be tried while the daemon stops.

        One that may have run can't be refused any more.
        """
        return plan.may_have_run or self.shutdown.admits(
            plan.route.objective,
            time_left=plan.answer_due_at - now,
            longest=self.longest_times.find(plan.route.name),
        )

    def _choose(self, plan: Plan, now: float) -> Choice | None:
        demand = self._make_demand(plan)
        candidates = self._list_candidates(plan)
        local: Choice | None = None
        if plan.route.is_bulk:
            local = find_local_choice(
                candidates, self.fleet.local_name, demand, now
            )
        return (
            local
            or self._choose_free(plan, candidates, demand, now)
            or self.placement.choose(candidates, demand, now)
        )

    def _choose_free(
        self,
        plan: Plan,
        candidates: list[Candidate],
        demand: Demand,
        now: float,
    ) -> Choice | None:
        """Return the next target to be asked for a free slot, if any.

        The search is for messages that are sent whole: a large body would have
        moved before its target says that it has no free slot.
        """
        search = FreeSlotSearch(
            tries=len(plan.busy),
            elapsed=now - plan.req.received_at,
            objective=demand.objective,
        )
        is_small = len(plan.req.body) <= MAX_WHOLE_BYTES
        if search.is_over or not (plan.adapts_to_load and is_small):
            return None
        untried = attrs.evolve(demand, tried=frozenset(plan.tried))
        choice = self.placement.choose(candidates, untried, now)
        if choice is None:
            return None
        return attrs.evolve(choice, needs_free_slot=True)

    def _list_candidates(self, plan: Plan) -> list[Candidate]:
        candidates = exclude_departed(
            self.fleet.candidates(plan.service), self.departures
        )
        listed = list(candidates)
        if self.shutdown.may_outlast_another(plan.answer_due_at - self.clock()):
            # The daemon of a draining target may stop as well, and earlier.
            listed = [
                one
                for one in listed
                if one.daemon == self.fleet.local_name or not one.is_draining
            ]
        return self.versions.select(plan.service, listed, plan.tried)

    def _make_demand(self, plan: Plan) -> Demand:
        traits = self.request_classes.find(plan.route.name)
        return Demand(
            objective=max(plan.route.objective, _MIN_OBJECTIVE_S),
            size=traits.size,
            relative_time=traits.relative_time,
            tried=frozenset(plan.tried - plan.busy),
        )


def _find_max_daemons(plan: Plan) -> int:
    """Return how many daemons a request may be queued at or sent to."""
    if plan.adapts_to_load:
        return _MAX_DAEMONS_AFTER_SEARCH
    return _MAX_DAEMONS_TRIED
