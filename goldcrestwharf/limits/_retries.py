"""Decide whether a request is tried again."""

import enum

import attrs

from goldcrestwharf.limits._budget import RetryBudget


class AttemptOutcome(enum.StrEnum):
    """Tell what is known of a try that brought no answer.

    A whole answer of a target is passed on, whatever its status: the target
    ran, so it is no outcome of this kind.
    """

    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


class StopReason(enum.StrEnum):
    """Name why no further try is made."""

    NOT_REPEATABLE = 'not-repeatable'
    BODY_SPENT = 'body-spent'
    MAX_TRIES = 'max-tries'
    EARLIER_HOP = 'earlier-hop'
    DEADLINE = 'deadline'
    BUDGET = 'budget'


@attrs.frozen(kw_only=True)
class Attempt:
    """Describe a failed try.

    ``tries`` counts the tries made, the failed one included, and
    ``retries_before`` the retries that earlier hops spent. ``remaining``
    is in seconds. A streamed body is spent once part of it was read.
    """

    outcome: AttemptOutcome
    tries: int
    max_tries: int
    is_repeatable: bool
    remaining: float
    retries_before: int = 0
    is_body_spent: bool = False


@attrs.frozen(kw_only=True)
class Retry:
    """Ask for another try; ``retries`` is what the next hop is told."""

    retries: int


@attrs.frozen(kw_only=True)
class Stop:
    """End the request with the final answer for its outcome."""

    reason: StopReason


class RetryPolicy:
    """Decide on retries for the requests of one service."""

    def __init__(self, *, budget: RetryBudget) -> None:
        """Spend retries from ``budget``."""
        self._budget = budget

    def decide(self, attempt: Attempt) -> Retry | Stop:
        """Return what to do after ``attempt``; a retry spends budget."""
        reason = _find_obstacle(attempt)
        if reason is not None:
            return Stop(reason=reason)
        if not self._budget.spend():
            return Stop(reason=StopReason.BUDGET)
        return Retry(retries=attempt.retries_before + 1)


def _find_obstacle(attempt: Attempt) -> StopReason | None:
    is_unknown = attempt.outcome is AttemptOutcome.UNKNOWN
    obstacles = (
        (
            is_unknown and not attempt.is_repeatable,
            StopReason.NOT_REPEATABLE,
        ),
        (attempt.is_body_spent, StopReason.BODY_SPENT),
        (attempt.tries >= attempt.max_tries, StopReason.MAX_TRIES),
        (attempt.retries_before > 0, StopReason.EARLIER_HOP),
        (attempt.remaining <= 0, StopReason.DEADLINE),
    )
    return next((reason for stands, reason in obstacles if stands), None)
