"""Define the settings of the request path."""

import attrs

from goldcrestwharf.documents import integer


@attrs.frozen(kw_only=True)
class HopsSettings:
    """Limits of the requests that a daemon accepts and forwards."""

    max_body_bytes: int = integer(
        1_048_576,
        summary='size of the body of a request or of an answer',
        unit='bytes',
        low=0,
        high=8_388_608,
    )
    max_header_bytes: int = integer(
        16_384,
        summary='size of all header fields of a request or of an answer',
        unit='bytes',
        low=256,
        high=262_144,
    )
    max_headers: int = integer(
        100,
        summary='header fields of a request or of an answer',
        low=1,
        high=1000,
    )
    max_path_bytes: int = integer(
        8192,
        summary='size of the path and query of a request',
        unit='bytes',
        low=16,
        high=65_536,
    )
    max_requests: int = integer(
        2000,
        summary='requests from callers in progress at once',
        low=1,
        high=100_000,
    )
    body_timeout_ms: int = integer(
        10_000,
        summary='time allowed for a caller to send the whole body',
        unit='ms',
        low=10,
        high=600_000,
    )
    connect_timeout_ms: int = integer(
        500,
        summary='time allowed for opening a connection to a target',
        unit='ms',
        low=10,
        high=60_000,
    )
    idle_reuse_ms: int = integer(
        2000,
        summary='idle time after which a target connection is not used again',
        unit='ms',
        low=0,
        high=600_000,
    )
    fresh_tries_percent: int = integer(
        20,
        summary='repeatable requests sent again on a fresh connection',
        unit='%',
        low=0,
        high=100,
    )
    retry_after_ms: int = integer(
        1000,
        summary='wait named in refusals that know no better one',
        unit='ms',
        low=1,
        high=600_000,
    )
