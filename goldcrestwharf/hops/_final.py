"""Build the final answers that callers get.

Each that does not come from a target names its outcome in the header
``goldcrestwharf-outcome``: ``not-run`` is only said if the request certainly
did not run and never will.
"""

import enum
import http
import math
import types

import attrs

from goldcrestwharf.hops import _headers
from goldcrestwharf.hops._messages import (
    HeaderFields,
    HopAnswer,
    HopOutcome,
    HopReason,
    HopRefusal,
    HopUnknown,
    UnknownReason,
)
from goldcrestwharf.hops._repeats import CopyState, EarlierCopy
from goldcrestwharf.limits import RefusalReason


class Outcome(enum.StrEnum):
    """Tell the caller what became of a request without an answer.

    ``EARLIER`` means that this copy did not run because an earlier one with
    the same idempotency key did or does.
    """

    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'
    EARLIER = 'earlier-copy'


@attrs.frozen(kw_only=True)
class FinalAnswer:
    """Hold the whole answer that a caller gets."""

    status: int
    headers: HeaderFields
    body: bytes = b''


@attrs.define(kw_only=True)
class RejectedError(Exception):
    """Report a request that no daemon will ever run as it is.

    ``status`` is the HTTP status in the 400s that says so.
    """

    status: int
    reason: str


_REFUSAL_STATUS = types.MappingProxyType(
    {
        HopReason.NO_ROUTE: http.HTTPStatus.NOT_FOUND,
        RefusalReason.CALLER_SHARE: http.HTTPStatus.TOO_MANY_REQUESTS,
    }
)

_COPY_STATUS = types.MappingProxyType(
    {
        CopyState.ALREADY_RAN: http.HTTPStatus.CONFLICT,
        CopyState.RUNNING: http.HTTPStatus.CONFLICT,
        CopyState.KEY_REUSED: http.HTTPStatus.UNPROCESSABLE_ENTITY,
    }
)


def finish(outcome: HopOutcome | EarlierCopy) -> FinalAnswer:
    """Return the answer that tells the caller of ``outcome``."""
    match outcome:
        case HopAnswer():
            return FinalAnswer(
                status=outcome.status,
                headers=outcome.headers,
                body=outcome.body,
            )
        case HopRefusal():
            return _finish_refusal(outcome)
        case HopUnknown():
            return _finish_unknown(outcome)
        case _:
            return _explain(
                _COPY_STATUS[outcome.state],
                Outcome.EARLIER,
                outcome.state,
            )


def reject(rejected: RejectedError) -> FinalAnswer:
    """Return the answer to a request that is out of bounds."""
    return _explain(rejected.status, Outcome.NOT_RUN, rejected.reason)


def _finish_refusal(refusal: HopRefusal) -> FinalAnswer:
    reason = refusal.reason
    if reason == HopReason.NO_ROUTE:
        return _explain(http.HTTPStatus.NOT_FOUND, Outcome.NOT_RUN, reason)
    status = http.HTTPStatus.SERVICE_UNAVAILABLE
    if reason == RefusalReason.CALLER_SHARE:
        status = http.HTTPStatus.TOO_MANY_REQUESTS
    answer = _explain(status, Outcome.NOT_RUN, reason)
    seconds = max(math.ceil(refusal.retry_after or 0), 1)
    retry_after = (_headers.RETRY_AFTER, b'%d' % seconds)
    return attrs.evolve(answer, headers=(*answer.headers, retry_after))


def _finish_unknown(unknown: HopUnknown) -> FinalAnswer:
    is_late = unknown.reason == UnknownReason.TIMEOUT
    status = (
        http.HTTPStatus.GATEWAY_TIMEOUT
        if is_late
        else http.HTTPStatus.BAD_GATEWAY
    )
    return _explain(status, Outcome.UNKNOWN, unknown.reason)


def _explain(status: int, outcome: Outcome, reason: str) -> FinalAnswer:
    body = f'{outcome}: {reason}\n'.encode()
    return FinalAnswer(
        status=int(status),
        headers=(
            (_headers.OUTCOME, outcome.encode()),
            (_headers.REASON, reason.encode()),
            (b'content-type', b'text/plain; charset=utf-8'),
            (_headers.CONTENT_LENGTH, b'%d' % len(body)),
        ),
        body=body,
    )
