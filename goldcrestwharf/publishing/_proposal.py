"""Define what an operator proposes to publish."""

import attrs

from goldcrestwharf.objects import ObjectSet
from goldcrestwharf.replay import Origin, Version


@attrs.frozen(kw_only=True)
class Proposal:
    """Propose a complete set.

    ``base`` is the version that the operator started from, ``None`` for the
    one in force when the proposal is read. ``id`` names the publish, so that
    it can be sent again.
    """

    id: str
    objects: ObjectSet
    base: Version | None = None
    allow_large_removal: bool = False
    origin: Origin = attrs.field(factory=Origin)
