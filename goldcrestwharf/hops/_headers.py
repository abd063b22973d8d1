"""Name the header fields of the hops and tell which are passed on."""

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

_CONNECTION = b'connection'
_OWN_PREFIX = b'goldcrestwharf-'

#: Fields that concern one connection alone (RFC 9110, section 7.6.1), and
#: the trace context, which each hop sets itself.
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
    """Return the first field called ``name``, in lower case, if any."""
    for field_name, field in headers:
        if field_name == name:
            return field
    return None


def find_count(
    headers: Iterable[tuple[bytes, bytes]],
    name: bytes,
) -> int | None:
    """Return the field called ``name`` as a whole number.

    Return ``None`` if it is missing or is no plain decimal number.
    """
    field = find(headers, name)
    return int(field) if field is not None and field.isdigit() else None


def pass_on(headers: Iterable[tuple[bytes, bytes]]) -> HeaderFields:
    """Return the fields that concern the other end.

    Left out are those of one connection, those that ``connection`` names
    and this project's own, which each daemon sets itself.
    """
    fields = tuple(headers)
    dropped = _HOP_BY_HOP | _named_by_connection(fields)
    return tuple(
        field
        for field in fields
        if field[0] not in dropped and not field[0].startswith(_OWN_PREFIX)
    )


def without(headers: HeaderFields, *names: bytes) -> HeaderFields:
    """Return the fields that have none of the ``names``."""
    return tuple(field for field in headers if field[0] not in names)


def _named_by_connection(fields: HeaderFields) -> frozenset[bytes]:
    listed = find(fields, _CONNECTION)
    if listed is None:
        return frozenset()
    return frozenset(name.strip() for name in listed.lower().split(b','))
