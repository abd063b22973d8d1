"""Compute the difference between two sets."""

from collections.abc import Mapping

from goldcrestwharf.objects._delta import ObjectDelta, RemovedNames
from goldcrestwharf.objects._kinds import KINDS, AnyObject, Kind, make_set
from goldcrestwharf.objects._model import ObjectSet


def diff(old: ObjectSet, new: ObjectSet) -> ObjectDelta:
    """Return the delta from ``old`` to ``new``."""
    changed = {kind.key: _changed_objects(kind, old, new) for kind in KINDS}
    removed = {kind.key: _removed_names(kind, old, new) for kind in KINDS}
    return ObjectDelta(put=make_set(changed), removed=RemovedNames(**removed))


def _changed_objects(
    kind: Kind,
    old: ObjectSet,
    new: ObjectSet,
) -> Mapping[str, AnyObject]:
    before = kind.of(old)
    return {
        name: model
        for name, model in kind.of(new).items()
        if _differs(before.get(name), model)
    }


def _differs(before: AnyObject | None, after: AnyObject) -> bool:
    # Versions share unchanged objects, so identity decides most pairs.
    return before is not after and before != after


def _removed_names(
    kind: Kind, old: ObjectSet, new: ObjectSet
) -> tuple[str, ...]:
    removed = set(kind.of(old))
    removed.difference_update(kind.of(new))
    return tuple(sorted(removed))
