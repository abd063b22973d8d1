"""Build the final answers to callers.

An answer that does not come from a target names its outcome in the header
``goldcrestwharf-outcome``. ``not-run`` guarantees that the request did not
run and never will.
"""

import enum
import http
import math
import types

import attrs

from goldcrestwharf.hops import _headers
from goldcrestwharf.hops._duplicates import CopyState, Duplicate
from goldcrestwharf.hops._messages import (
    HeaderFields,
    HopAnswer,
    HopOutcome,
    HopReason,
    HopRefusal,
    HopUnknown,
    UnknownReason,
)
from goldcrestwharf.limits import RefusalReason


class Outcome(enum.StrEnum):
    """Outcome of a request that has no answer of a target.

    ``DUPLICATE`` means that the request did not run, because an earlier one
    with the same idempotency key has run or is running.
    """

    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'
    DUPLICATE = 'earlier-copy'


@attrs.frozen(kw_only=True)
class FinalAnswer:
    """The complete answer to a caller."""

    status: int
    headers: HeaderFields
    body: bytes = b''


@attrs.define(kw_only=True)
class RejectedError(Exception):
    """Raised for a request that every daemon would reject.

    ``status`` is the HTTP status of the answer, a client error (4xx).
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


def make_final_answer(outcome: HopOutcome | Duplicate) -> FinalAnswer:
    """Return the answer to the caller for ``outcome``."""
    match outcome:
        case HopAnswer():
            return FinalAnswer(
                status=outcome.status,
                headers=outcome.headers,
                body=outcome.body,
            )
        case HopRefusal():
            return _make_refusal_answer(outcome)
        case HopUnknown():
            return _make_unknown_answer(outcome)
        case _:
            return _make_error_answer(
                _COPY_STATUS[outcome.state],
                Outcome.DUPLICATE,
                outcome.state,
            )


def make_rejection(rejected: RejectedError) -> FinalAnswer:
    """Return the answer to a malformed or too large request."""
    return _make_error_answer(rejected.status, Outcome.NOT_RUN, rejected.reason)


def _make_refusal_answer(refusal: HopRefusal) -> FinalAnswer:
    reason = refusal.reason
    if reason == HopReason.NO_ROUTE:
        return _make_error_answer(
            http.HTTPStatus.NOT_FOUND, Outcome.NOT_RUN, reason
        )
    status = http.HTTPStatus.SERVICE_UNAVAILABLE
    if reason == RefusalReason.CALLER_SHARE:
        status = http.HTTPStatus.TOO_MANY_REQUESTS
    answer = _make_error_answer(status, Outcome.NOT_RUN, reason)
    seconds = max(math.ceil(refusal.retry_after or 0), 1)
    retry_after = (_headers.RETRY_AFTER, b'%d' % seconds)
    return attrs.evolve(answer, headers=(*answer.headers, retry_after))


def _make_unknown_answer(unknown: HopUnknown) -> FinalAnswer:
    is_late = unknown.reason == UnknownReason.TIMEOUT
    status = (
        http.HTTPStatus.GATEWAY_TIMEOUT
        if is_late
        else http.HTTPStatus.BAD_GATEWAY
    )
    return _make_error_answer(status, Outcome.UNKNOWN, unknown.reason)


def _make_error_answer(
    status: int, outcome: Outcome, reason: str
) -> FinalAnswer:
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
