"""Settings of the limits."""

import attrs

from goldcrestwharf.documents import integer


@attrs.frozen(kw_only=True)
class LimitSettings:
    """Limits of what a daemon forwards, retries, claims and refuses."""

    max_in_flight: int = integer(
        2000,
        summary='requests that a daemon forwards concurrently',
        low=1,
        high=1_000_000,
    )
    caller_share_percent: int = integer(
        100,
        summary='requests in flight of one caller, relative to free capacity',
        unit='%',
        low=1,
        high=10_000,
    )
    service_share_percent: int = integer(
        200,
        summary='requests in flight of one service, relative to free capacity',
        unit='%',
        low=1,
        high=10_000,
    )
    share_retry_after_ms: int = integer(
        200,
        summary='retry delay sent to a caller that exceeds its share',
        unit='ms',
        low=1,
        high=600_000,
    )
    retry_window_ms: int = integer(
        10_000,
        summary='sliding window of the retry budget',
        unit='ms',
        low=100,
        high=600_000,
    )
    retry_floor: int = integer(
        3,
        summary='retries per window allowed regardless of first attempts',
        low=0,
        high=1000,
    )
    crash_deaths: int = integer(
        2,
        summary='target deaths after which a request is quarantined',
        low=2,
        high=100,
    )
    crash_memory_ms: int = integer(
        600_000,
        summary='how long a target death counts against a request',
        unit='ms',
        low=1000,
        high=86_400_000,
    )
    crash_doubt_ms: int = integer(
        30_000,
        summary='quarantine while several requests share the same deaths',
        unit='ms',
        low=1000,
        high=86_400_000,
    )
    crash_settle_ms: int = integer(
        5000,
        summary='time for reports of deaths to reach all daemons',
        unit='ms',
        low=100,
        high=600_000,
    )
    crash_verdict_ms: int = integer(
        1_800_000,
        summary='quarantine of a request that crashes targets',
        unit='ms',
        low=1000,
        high=86_400_000,
    )
    crash_table_size: int = integer(
        4096,
        summary='requests kept in the crash table',
        low=16,
        high=1_000_000,
    )
    claim_window_ms: int = integer(
        5,
        summary='time over which claims are batched into one append',
        unit='ms',
        low=0,
        high=1000,
    )
    claim_batch: int = integer(
        256,
        summary='maximum records in one append',
        low=1,
        high=10_000,
    )
    claim_backlog: int = integer(
        2000,
        summary='claim records queued before new claims are refused',
        low=1,
        high=1_000_000,
    )
    claim_retry_ms: int = integer(
        200,
        summary='delay after a failed append or read of the log',
        unit='ms',
        low=1,
        high=60_000,
    )
    claim_timeout_ms: int = integer(
        1000,
        summary='timeout of appending a claim and reading it back',
        unit='ms',
        low=10,
        high=60_000,
    )
    claim_answer_bytes: int = integer(
        4096,
        summary='largest answer that is stored with its claim',
        unit='bytes',
        low=0,
        high=1_000_000,
    )
    claim_running_ms: int = integer(
        60_000,
        summary='time after which a claim without an end counts as unknown',
        unit='ms',
        low=1000,
        high=86_400_000,
    )
    claim_dispatch_ms: int = integer(
        30_000,
        summary='time after its claim within which a request may be dispatched',
        unit='ms',
        low=10,
        high=600_000,
    )
    claim_index_size: int = integer(
        200_000,
        summary='idempotency keys that a daemon keeps',
        low=16,
        high=100_000_000,
    )
