"""Define the settings of the announcement interface."""

import attrs

from goldcrestwharf.documents import integer


@attrs.frozen(kw_only=True)
class EndpointSettings:
    """Bound what targets may announce and for how long it holds."""

    lease_ms: int = integer(
        5000,
        summary='time for which an announcement holds unless renewed',
        unit='ms',
        low=100,
        high=600_000,
    )
    max_targets: int = integer(
        16,
        summary='targets on one VM',
        low=1,
        high=64,
    )
    max_slots: int = integer(
        10_000,
        summary='slots that one target may announce',
        low=1,
        high=100_000,
    )
    max_cold_start_ms: int = integer(
        600_000,
        summary='longest cold start that a target may announce',
        unit='ms',
        low=0,
        high=3_600_000,
    )
    max_body_bytes: int = integer(
        16_384,
        summary='greatest size of an announcement',
        unit='bytes',
        low=256,
        high=1_048_576,
    )
