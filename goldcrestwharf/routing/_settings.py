"""Settings of routing."""

import attrs

from goldcrestwharf.documents import integer


@attrs.frozen(kw_only=True)
class RoutingSettings:
    """Settings of the load balancer."""

    load_half_life_ms: int = integer(
        1000,
        summary='half-life of a reported load',
        unit='ms',
        low=10,
        high=60_000,
    )
    spill_band_percent: int = integer(
        20,
        summary='drop in usage below the threshold before spillover decreases',
        unit='%',
        low=0,
        high=100,
    )
    spill_step_percent: int = integer(
        20,
        summary='maximum change of the spillover share per step',
        unit='%',
        low=1,
        high=100,
    )
    spill_step_ms: int = integer(
        200,
        summary='interval between changes of the spillover share',
        unit='ms',
        low=10,
        high=60_000,
    )
    eject_failure_percent: int = integer(
        50,
        summary='rate of recent failures at which a target is ejected',
        unit='%',
        low=1,
        high=100,
    )
    eject_cap_ms: int = integer(
        60_000,
        summary='maximum duration of an ejection',
        unit='ms',
        low=10,
        high=3_600_000,
    )
    probe_successes: int = integer(
        3,
        summary='consecutive answers that restore an ejected target',
        low=1,
        high=100,
    )
    panic_percent: int = integer(
        25,
        summary='usable share of a group below which ejections are ignored',
        unit='%',
        low=0,
        high=100,
    )
    forget_ms: int = integer(
        60_000,
        summary='time after which the record of an absent target is discarded',
        unit='ms',
        low=1000,
        high=3_600_000,
    )
