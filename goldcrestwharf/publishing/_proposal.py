"""Define a proposal to publish."""

import attrs

from goldcrestwharf.objects import ObjectSet
from goldcrestwharf.replay import Origin, Version


@attrs.frozen(kw_only=True)
class Proposal:
    """A complete set that an operator wants to publish.

    ``base`` is the version that the operator edited, ``None`` for the one
    that is active when the proposal is evaluated. ``id`` identifies the
    publish, so that it can be sent again.
    """

    id: str
    objects: ObjectSet
    base: Version | None = None
    allow_large_removal: bool = False
    origin: Origin = attrs.field(factory=Origin)
