"""Decide whether a request is tried again."""

import enum

import attrs

from goldcrestwharf.limits._budget import RetryBudget
from goldcrestwharf.limits._metrics import count_retry

_RETRIED = 'retried'


class AttemptOutcome(enum.StrEnum):
    """Tell what is known of a try that brought no answer.

    ``NOT_SENT`` reached no target's daemon, ``NOT_RUN`` was refused by it,
    and ``UNKNOWN`` may have run. A whole answer of a target is passed on,
    whatever its status: the target ran, so it is no outcome of this kind.
    """

    NOT_SENT = 'not-sent'
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

    def begin(self, *, retries_before: int) -> None:
        """Count a request that begins.

        Only one that no earlier hop retried backs retries of its own, or
        the shares of all the hops would multiply.
        """
        if not retries_before:
            self._budget.note_first_try()

    def decide(self, attempt: Attempt) -> Retry | Stop:
        """Return what to do after ``attempt``.

        A retry spends budget, but for one of a try that was never sent:
        it puts no more than the first load upon any target.
        """
        decided = self._decide(attempt)
        if isinstance(decided, Stop):
            count_retry(decided.reason)
        else:
            count_retry(_RETRIED)
        return decided

    def _decide(self, attempt: Attempt) -> Retry | Stop:
        reason = _find_obstacle(attempt)
        if reason is not None:
            return Stop(reason=reason)
        if attempt.outcome is AttemptOutcome.NOT_SENT:
            return Retry(retries=attempt.retries_before)
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
        (_repeats_earlier_hop(attempt), StopReason.EARLIER_HOP),
        (attempt.remaining <= 0, StopReason.DEADLINE),
    )
    return next((reason for stands, reason in obstacles if stands), None)


def _repeats_earlier_hop(attempt: Attempt) -> bool:
    is_sent = attempt.outcome is not AttemptOutcome.NOT_SENT
    return is_sent and attempt.retries_before > 0
