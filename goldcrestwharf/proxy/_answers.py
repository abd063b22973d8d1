"""Answers that a daemon gives to callers itself."""

import http
import math
from collections.abc import Callable

from goldcrestwharf.admission import Refusal, RefusalReason
from goldcrestwharf.http1 import Answer
from goldcrestwharf.proxy._outcomes import Ran
from goldcrestwharf.proxy._plan import Plan

#: Bounds of the ``Retry-After`` of refusals, in seconds.
MIN_RETRY_AFTER_S = 0.03
MAX_RETRY_AFTER_S = 1.0


def refuse(*, retry_after: float, longest: float = MAX_RETRY_AFTER_S) -> Answer:
    """Return the answer to a request that did not run and never will.

    ``retry_after`` is in seconds, ``longest`` at most, and sent with
    fractions.
    """
    bounded = min(max(retry_after, MIN_RETRY_AFTER_S), longest)
    return Answer(
        status=http.HTTPStatus.SERVICE_UNAVAILABLE,
        head=b'Retry-After: %.3f\r\n' % bounded,
    )


def refuse_over_limit(retry_after: float) -> Answer:
    """Return the answer to a request over the limit of its workspace.

    ``retry_after`` is the time in seconds until a token will be there.
    """
    return Answer(
        status=http.HTTPStatus.TOO_MANY_REQUESTS,
        head=b'Retry-After: %.3f\r\n' % retry_after,
    )


def forward_answer(ran: Ran) -> Answer:
    """Return the answer of a target to the caller."""
    return Answer(status=ran.status, head=ran.head, body=ran.body)


def answer_after_refusal(
    plan: Plan, retry_after: float, longest: float = MAX_RETRY_AFTER_S
) -> Answer:
    """Return the answer after a refusal, given the earlier attempts.

    If an earlier attempt may have run, its result takes precedence: the
    error of the target, or 502 if the outcome is unknown.
    """
    if plan.last_ran is not None:
        return forward_answer(plan.last_ran)
    if plan.last_lost is not None:
        return Answer(status=http.HTTPStatus.BAD_GATEWAY)
    return refuse(retry_after=retry_after, longest=longest)


def answer_refusal(
    plan: Plan, refusal: Refusal, draw: Callable[[], float]
) -> Answer:
    """Return the answer to a request that was refused in the end.

    ``draw`` returns a random number, 0 to 1.
    """
    if refusal.reason is RefusalReason.OVER_LIMIT:
        return refuse_over_limit(refusal.retry_after)
    if refusal.reason is RefusalReason.CRASHES_TARGETS:
        return answer_after_refusal(plan, refusal.retry_after, longest=math.inf)
    # Random up to twice the time, so that callers don't return together.
    spread = 1 + draw()
    wait = max(plan.find_retry_after(refusal), MIN_RETRY_AFTER_S)
    return answer_after_refusal(plan, wait * spread)


def time_out(plan: Plan) -> Answer:
    """Return the answer to a request that timed out."""
    if plan.may_have_run:
        return Answer(status=http.HTTPStatus.GATEWAY_TIMEOUT)
    return refuse(retry_after=MIN_RETRY_AFTER_S)
