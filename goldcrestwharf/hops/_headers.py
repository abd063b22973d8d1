"""Define header names and select the fields that a hop forwards."""

import sys
from collections.abc import Iterable

from goldcrestwharf.hops._messages import HeaderFields

DEADLINE = b'goldcrestwharf-deadline-ms'
ATTEMPT = b'goldcrestwharf-attempt'
OUTCOME = b'goldcrestwharf-outcome'
REASON = b'goldcrestwharf-reason'
TRACEPARENT = b'traceparent'
HOST = b'host'
CONTENT_LENGTH = b'content-length'
RETRY_AFTER = b'retry-after'
IDEMPOTENCY_KEY = b'idempotency-key'
REPLAYED = b'goldcrestwharf-replayed'

#: Most digits that always fit into ``sys.maxsize``.
_MAX_INT_DIGITS = 18

_CONNECTION = b'connection'
_PROJECT_PREFIX = b'goldcrestwharf-'

#: Hop-by-hop fields (RFC 9110, section 7.6.1), and the trace context, which
#: each hop sets itself.
_HOP_BY_HOP = frozenset(
    (
        _CONNECTION,
        b'expect',
        b'http2-settings',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'traceparent',
        b'transfer-encoding',
        b'upgrade',
    )
)


def find(headers: Iterable[tuple[bytes, bytes]], name: bytes) -> bytes | None:
    """Return the first field called ``name``, which is in lower case."""
    for field_name, field in headers:
        if field_name == name:
            return field
    return None


def find_int(
    headers: Iterable[tuple[bytes, bytes]],
    name: bytes,
) -> int | None:
    """Return the field called ``name`` as an integer.

    Returns ``None`` if it is missing or not a plain decimal number, and
    ``sys.maxsize`` for any greater number.
    """
    field = find(headers, name) or b''
    if not field.isdigit():
        return None
    # int() refuses long texts, leading zeros included.
    digits = field.lstrip(b'0') or b'0'
    if len(digits) > _MAX_INT_DIGITS:
        return sys.maxsize
    return int(digits)


def find_end_to_end(headers: Iterable[tuple[bytes, bytes]]) -> HeaderFields:
    """Return the end-to-end fields.

    Hop-by-hop fields, fields that ``connection`` names and the fields of
    this project, which each daemon sets itself, are left out.
    """
    fields = tuple(headers)
    dropped = _HOP_BY_HOP | _find_connection_options(fields)
    return tuple(
        field
        for field in fields
        if field[0] not in dropped and not field[0].startswith(_PROJECT_PREFIX)
    )


def without(headers: HeaderFields, *names: bytes) -> HeaderFields:
    """Return the fields except those called one of ``names``."""
    return tuple(field for field in headers if field[0] not in names)


def _find_connection_options(fields: HeaderFields) -> frozenset[bytes]:
    listed = find(fields, _CONNECTION)
    if listed is None:
        return frozenset()
    return frozenset(name.strip() for name in listed.lower().split(b','))
