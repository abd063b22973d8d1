"""Find the difference between two sets."""

from collections.abc import Mapping

from goldcrestwharf.objects._delta import ObjectDelta, RemovedNames
from goldcrestwharf.objects._kinds import KINDS, AnyObject, Kind, set_of
from goldcrestwharf.objects._model import ObjectSet


def diff(old: ObjectSet, new: ObjectSet) -> ObjectDelta:
    """Return the delta that makes ``new`` from ``old``."""
    changed = {kind.key: _changed(kind, old, new) for kind in KINDS}
    gone = {kind.key: _gone(kind, old, new) for kind in KINDS}
    return ObjectDelta(put=set_of(changed), removed=RemovedNames(**gone))


def _changed(
    kind: Kind,
    old: ObjectSet,
    new: ObjectSet,
) -> Mapping[str, AnyObject]:
    before = kind.of(old)
    return {
        name: named
        for name, named in kind.of(new).items()
        if _differs(before.get(name), named)
    }


def _differs(before: AnyObject | None, after: AnyObject) -> bool:
    # Versions share the objects that stay, so identity settles most pairs.
    return before is not after and before != after


def _gone(kind: Kind, old: ObjectSet, new: ObjectSet) -> tuple[str, ...]:
    gone = set(kind.of(old))
    gone.difference_update(kind.of(new))
    return tuple(sorted(gone))
