"""State the length of bodies that travel whole.

The hops read bodies whole, however they were framed, so the length of each
is known when it is written again.
"""

import http

from goldcrestwharf.hops import _headers
from goldcrestwharf.hops._messages import HeaderFields, HopRequest
from goldcrestwharf.hops._target_client import TargetAnswer

#: Methods whose requests state a length even if it is zero.
_WITH_BODY = frozenset((b'POST', b'PUT', b'PATCH'))

_BODYLESS = frozenset(
    (
        http.HTTPStatus.NO_CONTENT,
        http.HTTPStatus.NOT_MODIFIED,
    )
)


def frame_request(req: HopRequest) -> HeaderFields:
    """Return the header fields of a request with its true length."""
    fields = _headers.without(req.headers, _headers.CONTENT_LENGTH)
    if req.body or req.method in _WITH_BODY:
        return (*fields, _state_length(req.body))
    return fields


def frame_answer(answer: TargetAnswer) -> HeaderFields:
    """Return the header fields of an answer that concern the caller.

    An answer without a body may state the length of another one, as to
    HEAD, and keeps it.
    """
    fields = _headers.pass_on(answer.headers)
    if _headers.find(fields, _headers.CONTENT_LENGTH) is not None:
        return fields
    if answer.status in _BODYLESS:
        return fields
    return (*fields, _state_length(answer.body))


def _state_length(body: bytes) -> tuple[bytes, bytes]:
    return (_headers.CONTENT_LENGTH, b'%d' % len(body))
