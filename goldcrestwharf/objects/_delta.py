"""Define the difference between two sets."""

import attrs

from goldcrestwharf.objects._kinds import KINDS, Kind
from goldcrestwharf.objects._model import ObjectSet


@attrs.frozen(kw_only=True)
class RemovedNames:
    """The names that a delta removes, sorted, by kind."""

    target_groups: tuple[str, ...] = ()
    services: tuple[str, ...] = ()
    routes: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class ObjectDelta:
    """The difference between two sets.

    ``put`` holds the objects that are new or changed, in full.
    """

    put: ObjectSet = attrs.field(factory=ObjectSet)
    removed: RemovedNames = attrs.field(factory=RemovedNames)

    @property
    def is_empty(self) -> bool:
        """Return whether the two sets are equal."""
        return self.size == 0

    @property
    def size(self) -> int:
        """Return the number of objects that are put or removed."""
        return sum(_count(self, kind) for kind in KINDS)


def names_removed(delta: ObjectDelta, kind: Kind) -> tuple[str, ...]:
    """Return the names of one kind that ``delta`` removes."""
    names: tuple[str, ...] = getattr(delta.removed, kind.key)
    return names


def _count(delta: ObjectDelta, kind: Kind) -> int:
    put = kind.of(delta.put)
    return len(put) + len(names_removed(delta, kind))
