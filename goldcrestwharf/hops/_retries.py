"""Decide whether a request is tried again."""

from goldcrestwharf.hops._messages import (
    HopAnswer,
    HopOutcome,
    HopRefusal,
    RefusalReason,
)
from goldcrestwharf.hops._plan import Plan
from goldcrestwharf.limits import RetryBudget

#: Refusals that another target may not repeat.
_LOCAL_REASONS = frozenset(
    (
        RefusalReason.TARGET_UNKNOWN,
        RefusalReason.LEAVING,
        RefusalReason.OVERLOAD,
        RefusalReason.NOT_SENT,
    )
)


class Retries:
    """Allow retries where they are safe and within the budgets.

    Each service has a budget of its own. A request on which an earlier hop
    spent a retry gets none here, so that retries never multiply.
    """

    def __init__(self) -> None:
        """Start with a fresh budget for each service."""
        self._budgets: dict[str, RetryBudget] = {}

    def note_first_try(self, plan: Plan) -> None:
        """Let a first try earn its share of a retry."""
        self._budget_of(plan).note_first_try()

    def allow(self, plan: Plan, outcome: HopOutcome, now: float) -> bool:
        """Tell whether the request is tried again after ``outcome``.

        A retry that is allowed is taken out of the budget.
        """
        if not _is_safe(plan, outcome):
            return False
        if plan.earlier_attempts or plan.deadline.remaining(now) <= 0:
            return False
        if len(plan.tried) >= plan.match.service.max_tries:
            return False
        return self._budget_of(plan).spend()

    def _budget_of(self, plan: Plan) -> RetryBudget:
        name = plan.match.service_name
        budget = self._budgets.get(name)
        if budget is None:
            budget = RetryBudget(
                percent=plan.match.service.retry_budget_percent,
            )
            self._budgets[name] = budget
        return budget


def _is_safe(plan: Plan, outcome: HopOutcome) -> bool:
    if isinstance(outcome, HopAnswer):
        return False
    if isinstance(outcome, HopRefusal):
        return outcome.reason in _LOCAL_REASONS
    return plan.match.is_repeatable
