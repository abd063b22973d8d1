"""Decide whether a request is tried again."""

from goldcrestwharf.hops._messages import (
    HopAnswer,
    HopOutcome,
    HopReason,
    HopRefusal,
)
from goldcrestwharf.hops._plan import Plan
from goldcrestwharf.limits import (
    Attempt,
    AttemptOutcome,
    LimitSettings,
    RefusalReason,
    Retry,
    RetryBudget,
    RetryPolicy,
)
from goldcrestwharf.objects import Service
from goldcrestwharf.timers import Timers

_MS_PER_S = 1000
_MAX_REDIRECTS = 3

#: Refusals by daemons whose target takes no requests at all. They cost the
#: targets nothing, so another target is asked without spending the budget.
_REDIRECTS = frozenset(
    (
        HopReason.TARGET_UNKNOWN,
        HopReason.NOT_SENT,
        RefusalReason.LEAVING,
    )
)

#: Refusals by busy targets; asking another one spends the budget.
_BUSY = frozenset(
    (
        RefusalReason.QUEUE_FULL,
        RefusalReason.EXPECTED_WAIT,
    )
)


class Retries:
    """Allow retries where they are safe and within the budgets.

    Each service has a budget of its own. A request on which an earlier hop
    spent a retry gets none here, so that retries never multiply.
    """

    def __init__(self, *, timers: Timers, cfg: LimitSettings) -> None:
        """Start with a fresh budget for each service."""
        self._timers = timers
        self._cfg = cfg
        self._budgets: dict[str, _ServiceBudget] = {}

    def note_first_try(self, plan: Plan) -> None:
        """Let a first try earn its share of a retry."""
        self._budget_of(plan).policy.record_request(
            retries_before=plan.retries_before,
        )

    def allow(self, plan: Plan, outcome: HopOutcome) -> bool:
        """Tell whether the request is tried again after ``outcome``.

        A retry that is allowed is taken out of the budget.
        """
        if isinstance(outcome, HopAnswer) or plan.deadline.is_expired:
            return False
        if not isinstance(outcome, HopRefusal):
            return self._spend(plan, AttemptOutcome.UNKNOWN)
        if outcome.reason in _REDIRECTS and plan.redirects < _MAX_REDIRECTS:
            plan.redirects += 1
            plan.tries -= 1
            return True
        return outcome.reason in _BUSY and self._spend(
            plan,
            AttemptOutcome.NOT_RUN,
        )

    def _spend(self, plan: Plan, outcome: AttemptOutcome) -> bool:
        attempt = Attempt(
            outcome=outcome,
            attempts=plan.tries,
            max_attempts=plan.match.service.max_tries,
            is_repeatable=plan.match.is_repeatable,
            remaining=plan.deadline.remaining(),
            retries_before=plan.retries_before,
        )
        decision = self._budget_of(plan).policy.decide(attempt)
        return isinstance(decision, Retry)

    def _budget_of(self, plan: Plan) -> '_ServiceBudget':
        service = plan.match.service
        found = self._budgets.get(plan.match.service_name)
        if found is None or found.percent != service.retry_budget_percent:
            found = _ServiceBudget(service, self._timers, self._cfg)
            self._budgets[plan.match.service_name] = found
        return found


class _ServiceBudget:
    """Hold the retry budget of one service and the policy that spends it."""

    def __init__(
        self,
        service: Service,
        timers: Timers,
        cfg: LimitSettings,
    ) -> None:
        self.percent = service.retry_budget_percent
        self.policy = RetryPolicy(
            budget=RetryBudget(
                percent=self.percent,
                timers=timers,
                window=cfg.retry_window_ms / _MS_PER_S,
                floor=cfg.retry_floor,
            ),
        )
