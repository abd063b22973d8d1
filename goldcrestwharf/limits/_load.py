"""Tell how busy a target is."""

import attrs


@attrs.frozen(kw_only=True)
class TargetLoad:
    """Count a target's slots in use, its slots and the requests queued."""

    in_use: int
    queued: int
    slots: int
