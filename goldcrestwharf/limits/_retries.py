"""Retry policy: decides whether a failed attempt is retried."""

import enum

import attrs

from goldcrestwharf.limits._budget import RetryBudget
from goldcrestwharf.limits._metrics import count_retry

_RETRIED = 'retried'


class AttemptOutcome(enum.StrEnum):
    """Outcome of an attempt without an answer.

    A ``NOT_SENT`` attempt didn't reach the target's daemon, a ``NOT_RUN``
    one was refused by it, and an ``UNKNOWN`` one may have run. A complete
    answer of a target is forwarded whatever its status, since the request
    ran, so it has no outcome here.
    """

    NOT_SENT = 'not-sent'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


class StopReason(enum.StrEnum):
    """Reason why no further attempt is made."""

    NOT_REPEATABLE = 'not-repeatable'
    BODY_SPENT = 'body-spent'
    MAX_TRIES = 'max-tries'
    EARLIER_HOP = 'earlier-hop'
    DEADLINE = 'deadline'
    BUDGET = 'budget'


@attrs.frozen(kw_only=True)
class Attempt:
    """A failed attempt.

    ``attempts`` counts the attempts made, including the failed one, and
    ``retries_before`` the retries that earlier hops made. ``remaining`` is
    in seconds. A streamed body is consumed once part of it has been read.
    """

    outcome: AttemptOutcome
    attempts: int
    max_attempts: int
    is_repeatable: bool
    remaining: float
    retries_before: int = 0
    is_body_consumed: bool = False


@attrs.frozen(kw_only=True)
class Retry:
    """Decision to retry; ``retries`` is the count sent to the next hop."""

    retries: int


@attrs.frozen(kw_only=True)
class Stop:
    """Decision to end the request with the answer for its outcome."""

    reason: StopReason


class RetryPolicy:
    """Retry policy of one service."""

    def __init__(self, *, budget: RetryBudget) -> None:
        """Take retries from ``budget``."""
        self._budget = budget

    def record_request(self, *, retries_before: int) -> None:
        """Count a new request.

        A request that an earlier hop retried adds nothing to the budget;
        otherwise retries would multiply from hop to hop.
        """
        if not retries_before:
            self._budget.record_first_attempt()

    def decide(self, attempt: Attempt) -> Retry | Stop:
        """Return whether to retry after ``attempt``.

        A retry consumes budget unless the attempt was never sent: such a
        retry adds no load to any target.
        """
        decision = self._decide(attempt)
        if isinstance(decision, Stop):
            count_retry(decision.reason)
        else:
            count_retry(_RETRIED)
        return decision

    def _decide(self, attempt: Attempt) -> Retry | Stop:
        reason = _find_stop_reason(attempt)
        if reason is not None:
            return Stop(reason=reason)
        if attempt.outcome is AttemptOutcome.NOT_SENT:
            return Retry(retries=attempt.retries_before)
        if not self._budget.spend():
            return Stop(reason=StopReason.BUDGET)
        return Retry(retries=attempt.retries_before + 1)


def _find_stop_reason(attempt: Attempt) -> StopReason | None:
    is_unknown = attempt.outcome is AttemptOutcome.UNKNOWN
    conditions = (
        (
            is_unknown and not attempt.is_repeatable,
            StopReason.NOT_REPEATABLE,
        ),
        (attempt.is_body_consumed, StopReason.BODY_SPENT),
        (attempt.attempts >= attempt.max_attempts, StopReason.MAX_TRIES),
        (_was_retried_by_earlier_hop(attempt), StopReason.EARLIER_HOP),
        (attempt.remaining <= 0, StopReason.DEADLINE),
    )
    return next((reason for applies, reason in conditions if applies), None)


def _was_retried_by_earlier_hop(attempt: Attempt) -> bool:
    is_sent = attempt.outcome is not AttemptOutcome.NOT_SENT
    return is_sent and attempt.retries_before > 0
