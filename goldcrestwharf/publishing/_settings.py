"""Define the settings of publishing."""

import attrs

from goldcrestwharf.documents import integer


@attrs.frozen(kw_only=True)
class PublishingSettings:
    """The limits of waiting for the outcome of a publish."""

    settle_ms: int = integer(
        10_000,
        summary='time in which the log has to show the outcome of a publish',
        unit='ms',
        low=100,
        high=600_000,
    )
    page_records: int = integer(
        500,
        summary='records read at once',
        low=1,
        high=1000,
    )
    backoff_base_ms: int = integer(
        100,
        summary='upper bound of the first retry delay after a failed read',
        unit='ms',
        low=1,
        high=60_000,
    )
    backoff_cap_ms: int = integer(
        2000,
        summary='upper bound of every retry delay',
        unit='ms',
        low=1,
        high=600_000,
    )
