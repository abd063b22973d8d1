"""Decide whether a request is sent to another target."""

from collections.abc import Callable

from goldcrestwharf.admission import Refusal
from goldcrestwharf.placement import RetryBudget, RetryBudgetTerms
from goldcrestwharf.proxy._outcomes import Outcome
from goldcrestwharf.proxy._plan import Plan

#: Least share of a route's objective that has to be left for another try.
_LEAST_LEFT_SHARE = 0.25


class Repeats:
    """Keep the budgets of repeats by service."""

    def __init__(
        self,
        *,
        terms: RetryBudgetTerms,
        clock: Callable[[], float],
        count_members: Callable[[], int],
    ) -> None:
        """Keep ``terms`` for each service."""
        self._terms = terms
        self._clock = clock
        self._count_members = count_members
        self._budgets: dict[str, RetryBudget] = {}

    def record_first_attempt(self, service: str) -> None:
        """Count the first try of a request."""
        self._find(service).record_first_attempt(self._clock())

    def find_obstacle(self, plan: Plan, outcome: Outcome) -> str | None:
        """Return why there is no further try; ``None`` allows and counts it.

        A refusal that never reached the target costs no budget, since it
        puts no load on any.
        """
        if isinstance(outcome, Refusal) and not outcome.reached_target:
            return None
        reason = self._find_reason(plan, outcome)
        if reason is None:
            self._find(plan.service).record_retry(self._clock())
        return reason

    def _find_reason(self, plan: Plan, outcome: Outcome) -> str | None:
        now = self._clock()
        may_repeat = plan.route.is_repeatable or isinstance(outcome, Refusal)
        least_left = plan.route.objective * _LEAST_LEFT_SHARE
        members = self._count_members()
        if plan.limit_at - now < least_left:
            return 'no time left'
        if not may_repeat:
            return 'not repeatable'
        if plan.runs >= plan.route.max_tries:
            return 'no tries left'
        if self._find(plan.service).allows_retry(members=members, now=now):
            return None
        return 'no budget left'

    def _find(self, service: str) -> RetryBudget:
        found = self._budgets.get(service)
        if found is None:
            found = RetryBudget(terms=self._terms)
            self._budgets[service] = found
        return found
