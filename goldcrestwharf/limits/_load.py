"""Load of a target."""

import attrs


@attrs.frozen(kw_only=True)
class TargetLoad:
    """Load of a target: slots in use, requests queued and all slots."""

    in_use: int
    queued: int
    slots: int
