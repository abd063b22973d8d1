"""Build the final answers that do not come from a target.

Each names its outcome in the header ``goldcrestwharf-outcome``: ``not-run``
is only said if the request certainly did not run and never will.
"""

import enum
import http
import math
import types

import attrs

from goldcrestwharf.hops import _headers
from goldcrestwharf.hops._messages import (
    HeaderFields,
    HopRefusal,
    HopUnknown,
    RefusalReason,
    UnknownReason,
)


class Outcome(enum.StrEnum):
    """Tell the caller what became of a request without an answer."""

    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


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
        RefusalReason.NO_ROUTE: http.HTTPStatus.NOT_FOUND,
        RefusalReason.CALLER_SHARE: http.HTTPStatus.TOO_MANY_REQUESTS,
    }
)


def refuse(refusal: HopRefusal) -> FinalAnswer:
    """Return the answer to a request that was refused before dispatch."""
    status = _REFUSAL_STATUS.get(
        RefusalReason(refusal.reason),
        http.HTTPStatus.SERVICE_UNAVAILABLE,
    )
    extra: HeaderFields = ()
    if refusal.retry_after is not None:
        seconds = max(math.ceil(refusal.retry_after), 1)
        extra = ((_headers.RETRY_AFTER, b'%d' % seconds),)
    return _explain(status, Outcome.NOT_RUN, refusal.reason, extra)


def settle_unknown(unknown: HopUnknown) -> FinalAnswer:
    """Return the answer to a request that may have run."""
    if unknown.reason == UnknownReason.TIMEOUT:
        status = http.HTTPStatus.GATEWAY_TIMEOUT
    else:
        status = http.HTTPStatus.BAD_GATEWAY
    return _explain(status, Outcome.UNKNOWN, unknown.reason, ())


def reject(rejected: RejectedError) -> FinalAnswer:
    """Return the answer to a request that is out of bounds."""
    return _explain(rejected.status, Outcome.NOT_RUN, rejected.reason, ())


def _explain(
    status: int,
    outcome: Outcome,
    reason: str,
    extra: HeaderFields,
) -> FinalAnswer:
    body = f'{outcome}: {reason}\n'.encode()
    return FinalAnswer(
        status=int(status),
        headers=(
            (_headers.OUTCOME, outcome.encode()),
            (_headers.REASON, reason.encode()),
            (b'content-type', b'text/plain; charset=utf-8'),
            (_headers.CONTENT_LENGTH, b'%d' % len(body)),
            *extra,
        ),
        body=body,
    )
