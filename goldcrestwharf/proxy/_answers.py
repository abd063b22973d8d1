"""Answers that a daemon gives to callers itself."""

import http

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


def time_out(plan: Plan) -> Answer:
    """Return the answer to a request that timed out."""
    if plan.may_have_run:
        return Answer(status=http.HTTPStatus.GATEWAY_TIMEOUT)
    return refuse(retry_after=MIN_RETRY_AFTER_S)
