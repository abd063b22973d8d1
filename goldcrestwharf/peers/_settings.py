"""Define the settings of the streams between daemons."""

import attrs

from goldcrestwharf.documents import integer


@attrs.frozen(kw_only=True)
class PeerSettings:
    """Timeouts and limits of the streams between daemons."""

    connect_timeout_ms: int = integer(
        1000,
        summary='time allowed for opening a TCP connection',
        unit='ms',
        low=10,
        high=60_000,
    )
    handshake_timeout_ms: int = integer(
        2000,
        summary='time allowed for the handshake on a stream',
        unit='ms',
        low=10,
        high=60_000,
    )
    heartbeat_ms: int = integer(
        1000,
        summary='time between two heartbeats on a stream',
        unit='ms',
        low=50,
        high=60_000,
    )
    silence_ms: int = integer(
        3000,
        summary='silence after which a stream is closed',
        unit='ms',
        low=100,
        high=300_000,
    )
    idle_ms: int = integer(
        15_000,
        summary='time without use after which a stream is closed',
        unit='ms',
        low=1000,
        high=3_600_000,
    )
    backoff_base_ms: int = integer(
        50,
        summary='bound of the first wait before a stream is opened again',
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
    max_calls_per_conn: int = integer(
        2000,
        summary='calls handled at once for one peer',
        low=1,
        high=1_000_000,
    )
    max_conns: int = integer(
        4000,
        summary='streams accepted at once',
        low=1,
        high=1_000_000,
    )
