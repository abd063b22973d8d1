"""Check a proposed set against the one that is in force."""

from collections.abc import Iterator

from goldcrestwharf.documents import Place, Problem, Problems
from goldcrestwharf.objects._delta import names_removed
from goldcrestwharf.objects._diff import diff
from goldcrestwharf.objects._kinds import KINDS
from goldcrestwharf.objects._model import ObjectSet

_ALLOW = 'restore what is missing, or publish with --allow-large-removal'


def check_change(
    previous: ObjectSet,
    proposed: ObjectSet,
    *,
    allow_large_removal: bool = False,
) -> Problems:
    """Return what is wrong with replacing ``previous`` by ``proposed``.

    A set that is empty or lacks more than half of the objects is refused
    unless ``allow_large_removal`` is set.
    """
    if allow_large_removal:
        return ()
    return tuple(_find_large_removal(previous, proposed))


def _find_large_removal(
    previous: ObjectSet,
    proposed: ObjectSet,
) -> Iterator[Problem]:
    delta = diff(previous, proposed)
    before = sum(len(kind.of(previous)) for kind in KINDS)
    removed = sum(len(names_removed(delta, kind)) for kind in KINDS)
    if removed * 2 > before:
        yield Problem(
            place=Place(kind='set'),
            reason=f'it removes {removed} of {before} objects',
            remedy=_ALLOW,
        )
