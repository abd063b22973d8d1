"""Check a proposed set against the active one."""

from collections.abc import Iterator

from goldcrestwharf.documents import Place, Problem, Problems
from goldcrestwharf.objects._delta import names_removed
from goldcrestwharf.objects._diff import diff
from goldcrestwharf.objects._kinds import KINDS, AnyObject, Kind
from goldcrestwharf.objects._model import ObjectSet

_WHOLE_SET = Place(kind='set')
_REMEDY = 'restore what is missing, or allow the removal explicitly'


def check_change(
    previous: ObjectSet,
    proposed: ObjectSet,
    *,
    allow_large_removal: bool = False,
    team: str = '',
) -> Problems:
    """Return the problems of replacing ``previous`` by ``proposed``.

    A set that is empty or removes more than half of the objects is refused
    unless ``allow_large_removal`` is set. If ``team`` is given, each change
    of an object that another team owns is refused as well.
    """
    problems: list[Problem] = []
    if not allow_large_removal:
        problems.extend(_find_empty_set(proposed))
        problems.extend(_find_large_removal(previous, proposed))
    if team:
        for kind in KINDS:
            problems.extend(
                _find_foreign_changes(kind, previous, proposed, team)
            )
    return tuple(problems)


def _find_empty_set(proposed: ObjectSet) -> Iterator[Problem]:
    if proposed == ObjectSet():
        yield Problem(
            place=_WHOLE_SET,
            reason='it is empty, so every request would be refused',
            remedy=_REMEDY,
        )


def _find_large_removal(
    previous: ObjectSet,
    proposed: ObjectSet,
) -> Iterator[Problem]:
    delta = diff(previous, proposed)
    before = sum(len(kind.of(previous)) for kind in KINDS)
    removed = sum(len(names_removed(delta, kind)) for kind in KINDS)
    if removed * 2 > before:
        yield Problem(
            place=_WHOLE_SET,
            reason=f'it removes {removed} of {before} objects',
            remedy=_REMEDY,
        )


def _find_foreign_changes(
    kind: Kind,
    previous: ObjectSet,
    proposed: ObjectSet,
    team: str,
) -> Iterator[Problem]:
    before, after = kind.of(previous), kind.of(proposed)
    for name in sorted(before.keys() | after.keys()):
        owner = _find_other_owner(before.get(name), after.get(name), team)
        if owner:
            yield Problem(
                place=Place(kind=kind.word, name=name, field='team'),
                reason=f'team "{owner}" owns it, and you publish as "{team}"',
                remedy=f'leave it as it is, or ask team "{owner}"',
            )


def _find_other_owner(
    before: AnyObject | None,
    after: AnyObject | None,
    team: str,
) -> str:
    if before == after:
        return ''
    owners = [each.team for each in (before, after) if each is not None]
    others = [owner for owner in owners if owner not in {'', team}]
    return others[0] if others else ''
