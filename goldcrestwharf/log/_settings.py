"""Define the settings of the client of the platform's log."""

import attrs

from goldcrestwharf.documents import integer, text


@attrs.frozen(kw_only=True)
class PlatformSettings:
    """Tell where the platform's log is and bound the waits for it."""

    url: str = text(
        'http://127.0.0.1:7800',
        summary='base URL of the log service',
        pattern='https?://.+',
    )
    connect_timeout_ms: int = integer(
        1000,
        summary='time allowed for opening a connection',
        unit='ms',
        low=10,
        high=60_000,
    )
    request_timeout_ms: int = integer(
        5000,
        summary='time allowed for an answer, a long poll not counted',
        unit='ms',
        low=10,
        high=300_000,
    )
    max_tries: int = integer(
        5,
        summary='tries of a request that the log refuses as one too many',
        low=1,
        high=100,
    )
    backoff_base_ms: int = integer(
        100,
        summary='bound of the first wait before a request is tried again',
        unit='ms',
        low=1,
        high=60_000,
    )
    backoff_cap_ms: int = integer(
        5000,
        summary='greatest bound of such a wait',
        unit='ms',
        low=1,
        high=600_000,
    )
