"""Reject requests that are malformed or exceed a size limit."""

import http

from goldcrestwharf.hops import _headers
from goldcrestwharf.hops._final import RejectedError
from goldcrestwharf.hops._messages import HeaderFields
from goldcrestwharf.hops._settings import HopsSettings

_MAX_KEY_BYTES = 255


def check_head(
    target: bytes,
    headers: HeaderFields,
    cfg: HopsSettings,
) -> None:
    """Raise :class:`RejectedError` if the head is malformed or too large."""
    if not target.startswith(b'/'):
        raise RejectedError(
            status=http.HTTPStatus.BAD_REQUEST,
            reason='the path must start with a slash',
        )
    if len(target) > cfg.max_path_bytes:
        raise RejectedError(
            status=http.HTTPStatus.REQUEST_URI_TOO_LONG,
            reason=f'the path is longer than {cfg.max_path_bytes} bytes',
        )
    if _is_too_large(headers, cfg):
        raise RejectedError(
            status=http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
            reason='the request has too many or too large header fields',
        )
    _check_key(headers)
    length = _headers.find_int(headers, _headers.CONTENT_LENGTH) or 0
    check_body_size(length, cfg.max_body_bytes)


def _check_key(headers: HeaderFields) -> None:
    key = _headers.find(headers, _headers.IDEMPOTENCY_KEY)
    if key is not None and not 1 <= len(key) <= _MAX_KEY_BYTES:
        raise RejectedError(
            status=http.HTTPStatus.BAD_REQUEST,
            reason=f'an idempotency key must have 1 to {_MAX_KEY_BYTES} bytes',
        )


def _is_too_large(headers: HeaderFields, cfg: HopsSettings) -> bool:
    if len(headers) > cfg.max_headers:
        return True
    sizes = (len(name) + len(field) for name, field in headers)
    return sum(sizes) > cfg.max_header_bytes


def check_body_size(size: int, max_bytes: int) -> None:
    """Raise :class:`RejectedError` if a body exceeds ``max_bytes``."""
    if size > max_bytes:
        raise RejectedError(
            status=http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
            reason=f'the body is larger than {max_bytes} bytes',
        )
