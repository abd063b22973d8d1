"""Define the settings of readers of the configuration stream."""

import attrs

from goldcrestwharf.documents import integer


@attrs.frozen(kw_only=True)
class ReplaySettings:
    """Limits on reading the log, and the retention that it is run with."""

    poll_ms: int = integer(
        20_000,
        summary='time that one read waits for a record',
        unit='ms',
        low=100,
        high=60_000,
    )
    page_records: int = integer(
        500,
        summary='records read at once',
        low=1,
        high=1000,
    )
    backoff_base_ms: int = integer(
        200,
        summary='upper bound of the first retry delay after a failed read',
        unit='ms',
        low=1,
        high=60_000,
    )
    backoff_cap_ms: int = integer(
        10_000,
        summary='upper bound of every retry delay',
        unit='ms',
        low=1,
        high=600_000,
    )
    retention_records: int = integer(
        100_000,
        summary='records of a stream that the log retains',
        low=4,
        high=1_000_000_000,
    )
    retention_s: int = integer(
        86_400,
        summary='time for which the log retains a record',
        unit='s',
        low=4,
        high=31_536_000,
    )
    checkpoint_check_s: int = integer(
        30,
        summary='interval between checks of the age of the checkpoint',
        unit='s',
        low=1,
        high=3600,
    )
    checkpoint_wait_s: int = integer(
        20,
        summary='longest random wait for the checkpoint of another daemon',
        unit='s',
        low=0,
        high=3600,
    )
