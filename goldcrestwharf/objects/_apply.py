"""Apply a delta to a set."""

from collections.abc import Mapping

from goldcrestwharf.objects._delta import ObjectDelta, names_removed
from goldcrestwharf.objects._errors import DeltaError
from goldcrestwharf.objects._kinds import KINDS, AnyObject, Kind, make_set
from goldcrestwharf.objects._model import ObjectSet


def apply_delta(old: ObjectSet, delta: ObjectDelta) -> ObjectSet:
    """Return the set that results from applying ``delta`` to ``old``.

    Raises :class:`DeltaError` if the delta removes a name that ``old``
    doesn't have, or one that it also puts.
    """
    return make_set({kind.key: _merge(kind, old, delta) for kind in KINDS})


def _merge(
    kind: Kind,
    old: ObjectSet,
    delta: ObjectDelta,
) -> Mapping[str, AnyObject]:
    put, removed = kind.of(delta.put), names_removed(delta, kind)
    _check_removed(kind, old, delta)
    if not put and not removed:
        return kind.of(old)
    merged = {**kind.of(old), **put}
    for name in removed:
        merged.pop(name)
    return merged


def _check_removed(kind: Kind, old: ObjectSet, delta: ObjectDelta) -> None:
    removed = names_removed(delta, kind)
    names = set(removed)
    missing = names - kind.of(old).keys()
    both = names & kind.of(delta.put).keys()
    if len(names) != len(removed):
        raise _delta_error(f'the delta removes a {kind.word} twice')
    if missing:
        raise _delta_error(
            f'there is no {kind.word} "{min(missing)}" to remove'
        )
    if both:
        raise _delta_error(f'{kind.word} "{min(both)}" is both put and removed')


def _delta_error(reason: str) -> DeltaError:
    return DeltaError(
        reason=reason,
        remedy='create the delta again from its base version',
    )
