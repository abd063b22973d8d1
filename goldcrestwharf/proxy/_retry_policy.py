"""Decision whether a request is retried."""

from collections.abc import Callable

from goldcrestwharf.admission import Refusal, RefusalReason
from goldcrestwharf.placement import RetryBudget, RetryBudgetTerms
from goldcrestwharf.proxy._outcomes import Outcome
from goldcrestwharf.proxy._plan import Plan

#: Minimum time left for a retry, as a fraction of the route's objective.
_MIN_TIME_LEFT_FRACTION = 0.25


class RetryPolicy:
    """Retry limits and the retry budgets of all services."""

    def __init__(
        self,
        *,
        terms: RetryBudgetTerms,
        clock: Callable[[], float],
        count_members: Callable[[], int],
    ) -> None:
        """Apply ``terms`` to each service."""
        self._terms = terms
        self._clock = clock
        self._count_members = count_members
        self._budgets: dict[str, RetryBudget] = {}

    def record_first_attempt(self, service: str) -> None:
        """Count the first attempt of a request."""
        self._find(service).record_first_attempt(self._clock())

    def find_stop_reason(self, plan: Plan, outcome: Outcome) -> str | None:
        """Return why there is no retry; ``None`` allows and counts one.

        A refusal that never reached the target costs no budget, since it puts
        no load on any target.
        """
        if isinstance(outcome, Refusal) and not outcome.reached_target:
            is_final = outcome.reason is RefusalReason.CRASHES_TARGETS
            return outcome.reason.value if is_final else None
        reason = self._find_reason(plan, outcome)
        if reason is None:
            self._find(plan.service).record_retry(self._clock())
        return reason

    def _find_reason(self, plan: Plan, outcome: Outcome) -> str | None:
        now = self._clock()
        may_repeat = plan.route.is_repeatable or isinstance(outcome, Refusal)
        min_left = plan.route.objective * _MIN_TIME_LEFT_FRACTION
        members = self._count_members()
        if plan.answer_due_at - now < min_left:
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
