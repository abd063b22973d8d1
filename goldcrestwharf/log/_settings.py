"""Settings of the client of the platform's log."""

import attrs

from goldcrestwharf.documents import integer, text


@attrs.frozen(kw_only=True)
class PlatformSettings:
    """URL of the platform's log, and the timeouts and retries of its client."""

    url: str = text(
        'http://127.0.0.1:7800',
        summary='base URL of the log service',
        pattern='https?://.+',
    )
    connect_timeout_ms: int = integer(
        1000,
        summary='timeout for opening a connection',
        unit='ms',
        low=10,
        high=60_000,
    )
    request_timeout_ms: int = integer(
        5000,
        summary='timeout for an answer, not counting a long poll',
        unit='ms',
        low=10,
        high=300_000,
    )
    max_tries: int = integer(
        5,
        summary='attempts of a request that the log refuses with 429',
        low=1,
        high=100,
    )
    backoff_base_ms: int = integer(
        100,
        summary='upper bound of the first wait before a retry',
        unit='ms',
        low=1,
        high=60_000,
    )
    backoff_cap_ms: int = integer(
        5000,
        summary='largest upper bound of a wait before a retry',
        unit='ms',
        low=1,
        high=600_000,
    )
