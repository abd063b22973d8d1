"""Define the settings of routing."""

import attrs

from goldcrestwharf.documents import integer


@attrs.frozen(kw_only=True)
class RoutingSettings:
    """Tune the choice of a target."""

    load_half_life_ms: int = integer(
        1000,
        summary='time after which a reported load counts half',
        unit='ms',
        low=10,
        high=60_000,
    )
    spill_band_percent: int = integer(
        20,
        summary='how far use has to fall before requests come back',
        unit='%',
        low=0,
        high=100,
    )
    spill_step_percent: int = integer(
        20,
        summary='greatest change of the share that spills over, per step',
        unit='%',
        low=1,
        high=100,
    )
    spill_step_ms: int = integer(
        200,
        summary='time between two such changes',
        unit='ms',
        low=10,
        high=60_000,
    )
    eject_failure_percent: int = integer(
        50,
        summary='share of recent failures at which a target is ejected',
        unit='%',
        low=1,
        high=100,
    )
    eject_cap_ms: int = integer(
        60_000,
        summary='greatest time of an ejection',
        unit='ms',
        low=10,
        high=3_600_000,
    )
    probe_successes: int = integer(
        3,
        summary='answers in a row that bring an ejected target back',
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
        summary='time for which an absent target is remembered',
        unit='ms',
        low=1000,
        high=3_600_000,
    )
