"""Set the content length of forwarded requests and answers.

Each hop buffers the whole body, however it was framed, so its length is
known when it is sent on.
"""

import http

from goldcrestwharf.hops import _headers
from goldcrestwharf.hops._messages import HeaderFields, HopRequest
from goldcrestwharf.hops._target_client import TargetAnswer

#: Methods whose requests have a content length even if it is zero.
_WITH_BODY = frozenset((b'POST', b'PUT', b'PATCH'))

_BODYLESS = frozenset(
    (
        http.HTTPStatus.NO_CONTENT,
        http.HTTPStatus.NOT_MODIFIED,
    )
)


def frame_request(req: HopRequest) -> HeaderFields:
    """Return the header fields of a request with its actual length."""
    fields = _headers.without(req.headers, _headers.CONTENT_LENGTH)
    if req.body or req.method in _WITH_BODY:
        return (*fields, _make_content_length(req.body))
    return fields


def frame_answer(answer: TargetAnswer) -> HeaderFields:
    """Return the end-to-end header fields of an answer, with its length.

    A content length that the target has set is kept, since an answer to
    HEAD states the length of a body that it doesn't have.
    """
    fields = _headers.find_end_to_end(answer.headers)
    if _headers.find(fields, _headers.CONTENT_LENGTH) is not None:
        return fields
    if answer.status in _BODYLESS:
        return fields
    return (*fields, _make_content_length(answer.body))


def _make_content_length(body: bytes) -> tuple[bytes, bytes]:
    return (_headers.CONTENT_LENGTH, b'%d' % len(body))
