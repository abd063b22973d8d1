"""Define the settings of the distribution between daemons."""

import attrs

from goldcrestwharf.documents import integer


@attrs.frozen(kw_only=True)
class DistributionSettings:
    """The shape of a zone's relay tree and the limits on its load."""

    readers_per_zone: int = integer(
        2,
        summary="daemons of a zone that follow the platform's log",
        low=1,
        high=100,
    )
    fan_out: int = integer(
        16,
        summary='daemons that follow one relay',
        low=2,
        high=1000,
    )
    coalescing_window_ms: int = integer(
        0,
        summary='time for which a reader coalesces changes before it relays',
        unit='ms',
        low=0,
        high=4000,
    )
    poll_wait_ms: int = integer(
        20_000,
        summary='longest time for which a relay holds a fetch open',
        unit='ms',
        low=100,
        high=300_000,
    )
    compare_period_ms: int = integer(
        2000,
        summary='interval between comparisons with a random daemon',
        unit='ms',
        low=100,
        high=300_000,
    )
    snapshots_at_once: int = integer(
        4,
        summary='full snapshots that a relay sends at once',
        low=1,
        high=1000,
    )
    fetches_at_once: int = integer(
        256,
        summary='fetches that a relay holds open at once',
        low=2,
        high=100_000,
    )
    retry_base_ms: int = integer(
        50,
        summary='upper bound of the first retry delay after a failed fetch',
        unit='ms',
        low=1,
        high=60_000,
    )
    retry_cap_ms: int = integer(
        2000,
        summary='upper bound of every retry delay',
        unit='ms',
        low=1,
        high=600_000,
    )
