"""Decide whether a failed attempt is retried."""

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

#: Refusals by daemons whose target takes no requests at all. They put no
#: load on targets, so a retry at another target doesn't use up the budget.
_REDIRECTS = frozenset(
    (
        HopReason.TARGET_UNKNOWN,
        HopReason.NOT_SENT,
        RefusalReason.LEAVING,
    )
)

#: Refusals by busy targets; a retry at another target uses up the budget.
_BUSY = frozenset(
    (
        RefusalReason.QUEUE_FULL,
        RefusalReason.EXPECTED_WAIT,
    )
)


class RetryLimiter:
    """A limiter that allows safe retries within the retry budget.

    Each service has its own budget. A request that an earlier hop has
    retried is not retried here, so that retries don't multiply along a chain
    of calls.
    """

    def __init__(self, *, timers: Timers, cfg: LimitSettings) -> None:
        """Start with a new budget for each service."""
        self._timers = timers
        self._cfg = cfg
        self._budgets: dict[str, _ServiceBudget] = {}

    def record_first_attempt(self, plan: Plan) -> None:
        """Credit a first attempt to the retry budget of its service."""
        self._budget_of(plan).policy.record_request(
            retries_before=plan.retries_before,
        )

    def allow(self, plan: Plan, outcome: HopOutcome) -> bool:
        """Return whether to retry the request after ``outcome``.

        An allowed retry is deducted from the budget.
        """
        if isinstance(outcome, HopAnswer) or plan.deadline.is_expired:
            return False
        if not isinstance(outcome, HopRefusal):
            return self._spend(plan, AttemptOutcome.UNKNOWN)
        if outcome.reason in _REDIRECTS and plan.redirects < _MAX_REDIRECTS:
            plan.redirects += 1
            plan.attempts -= 1
            return True
        return outcome.reason in _BUSY and self._spend(
            plan,
            AttemptOutcome.NOT_RUN,
        )

    def _spend(self, plan: Plan, outcome: AttemptOutcome) -> bool:
        attempt = Attempt(
            outcome=outcome,
            attempts=plan.attempts,
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
    """The retry policy of a service with its budget."""

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
