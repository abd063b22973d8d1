"""Define the settings of the limits."""

import attrs

from goldcrestwharf.documents import integer


@attrs.frozen(kw_only=True)
class LimitSettings:
    """Bound what a daemon forwards, retries, claims and refuses."""

    max_in_flight: int = integer(
        2000,
        summary='requests that a daemon forwards at once',
        low=1,
        high=1_000_000,
    )
    caller_share_percent: int = integer(
        100,
        summary='requests in flight of one caller, of the free capacity',
        unit='%',
        low=1,
        high=10_000,
    )
    service_share_percent: int = integer(
        200,
        summary='requests in flight of one service, of the free capacity',
        unit='%',
        low=1,
        high=10_000,
    )
    share_retry_after_ms: int = integer(
        200,
        summary='wait asked of a caller whose share is used up',
        unit='ms',
        low=1,
        high=600_000,
    )
    retry_window_ms: int = integer(
        10_000,
        summary='time over which retries are compared with first tries',
        unit='ms',
        low=100,
        high=600_000,
    )
    retry_floor: int = integer(
        3,
        summary='retries per window that need no first tries to back them',
        low=0,
        high=1000,
    )
    crash_deaths: int = integer(
        2,
        summary='deaths of a target after which a request is refused',
        low=2,
        high=100,
    )
    crash_memory_ms: int = integer(
        600_000,
        summary='time for which a death is held against a request',
        unit='ms',
        low=1000,
        high=86_400_000,
    )
    crash_doubt_ms: int = integer(
        30_000,
        summary='the same while several requests died in the same targets',
        unit='ms',
        low=1000,
        high=86_400_000,
    )
    crash_settle_ms: int = integer(
        5000,
        summary='time after which news of the deaths is everywhere',
        unit='ms',
        low=100,
        high=600_000,
    )
    crash_verdict_ms: int = integer(
        1_800_000,
        summary='time for which a request that kills targets is refused',
        unit='ms',
        low=1000,
        high=86_400_000,
    )
    crash_table_size: int = integer(
        4096,
        summary='requests that are remembered with a death',
        low=16,
        high=1_000_000,
    )
    claim_window_ms: int = integer(
        5,
        summary='time over which claims are gathered into one append',
        unit='ms',
        low=0,
        high=1000,
    )
    claim_batch: int = integer(
        256,
        summary='claims in one append',
        low=1,
        high=10_000,
    )
    claim_backlog: int = integer(
        2000,
        summary='records of claims that wait for an append',
        low=1,
        high=1_000_000,
    )
    claim_retry_ms: int = integer(
        200,
        summary='wait after the platform failed to append or read',
        unit='ms',
        low=1,
        high=60_000,
    )
    claim_timeout_ms: int = integer(
        1000,
        summary='time allowed for an append and for reading it back',
        unit='ms',
        low=10,
        high=60_000,
    )
    claim_answer_bytes: int = integer(
        4096,
        summary='greatest answer that is recorded whole with its claim',
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
        summary='time after its claim in which a request may be dispatched',
        unit='ms',
        low=10,
        high=600_000,
    )
    claim_index_size: int = integer(
        200_000,
        summary='keys that a daemon remembers',
        low=16,
        high=100_000_000,
    )
