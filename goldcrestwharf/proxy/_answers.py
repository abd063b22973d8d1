"""Write the final answers that a daemon gives by itself."""

import http

from goldcrestwharf.http1 import Answer
from goldcrestwharf.proxy._outcomes import Ran
from goldcrestwharf.proxy._plan import Plan

#: Bounds of the time that refused callers are asked to stay away, in seconds.
LEAST_RETRY_AFTER_S = 0.03
_MOST_RETRY_AFTER_S = 1.0


def refuse(*, retry_after: float) -> Answer:
    """Return the answer that a request did not run and never will.

    ``retry_after`` is in seconds; fractions are sent.
    """
    bounded = min(max(retry_after, LEAST_RETRY_AFTER_S), _MOST_RETRY_AFTER_S)
    return Answer(
        status=http.HTTPStatus.SERVICE_UNAVAILABLE,
        head=b'Retry-After: %.3f\r\n' % bounded,
    )


def pass_on(ran: Ran) -> Answer:
    """Return the answer of a target."""
    return Answer(status=ran.status, head=ran.head, body=ran.body)


def answer_refusal(plan: Plan, retry_after: float) -> Answer:
    """Return the answer of a refusal, unless an earlier try may have run.

    Then what is known of that try counts: its failure, or that nobody knows.
    """
    if plan.last_ran is not None:
        return pass_on(plan.last_ran)
    if plan.last_lost is not None:
        return Answer(status=http.HTTPStatus.BAD_GATEWAY)
    return refuse(retry_after=retry_after)


def give_up(plan: Plan) -> Answer:
    """Return the answer at the end of a request's time."""
    if plan.may_have_run:
        return Answer(status=http.HTTPStatus.GATEWAY_TIMEOUT)
    return refuse(retry_after=LEAST_RETRY_AFTER_S)
