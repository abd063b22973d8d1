"""Settings of target registration."""

import attrs

from goldcrestwharf.documents import integer


@attrs.frozen(kw_only=True)
class EndpointSettings:
    """Limits of announcements and the duration of leases."""

    lease_ms: int = integer(
        5000,
        summary='lease of a target; it expires unless renewed',
        unit='ms',
        low=100,
        high=600_000,
    )
    max_targets: int = integer(
        16,
        summary='maximum number of targets on one VM',
        low=1,
        high=64,
    )
    max_slots: int = integer(
        10_000,
        summary='maximum number of slots of one target',
        low=1,
        high=100_000,
    )
    max_cold_start_ms: int = integer(
        600_000,
        summary='maximum cold start time of a target',
        unit='ms',
        low=0,
        high=3_600_000,
    )
    max_body_bytes: int = integer(
        16_384,
        summary='maximum size of an announcement',
        unit='bytes',
        low=256,
        high=1_048_576,
    )
