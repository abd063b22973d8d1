"""Look up the checks of a revision of the rules, and run them."""

from collections.abc import Mapping

from goldcrestwharf.documents import Problem, Problems
from goldcrestwharf.objects import (
    _check_bounds,
    _check_limits,
    _check_names,
    _check_references,
    _check_routes,
    _check_use,
)
from goldcrestwharf.objects._errors import UnknownRulesError
from goldcrestwharf.objects._kinds import KINDS, AnyObject, Kind, make_set
from goldcrestwharf.objects._model import ObjectSet
from goldcrestwharf.objects._registry import Check, registered

#: The revision of the rules that this release uses for publishing.
RULES_REVISION = 1

#: The modules whose import fills the registry.
CHECK_MODULES = (
    _check_bounds,
    _check_limits,
    _check_names,
    _check_references,
    _check_routes,
    _check_use,
)


def find_rules(revision: int) -> tuple[Check, ...]:
    """Return the checks of a revision, in a fixed order.

    Raises :class:`UnknownRulesError` for one of another release.
    """
    if not 1 <= revision <= RULES_REVISION:
        raise UnknownRulesError(
            reason=f'unknown revision {revision} of the rules',
            remedy='finish the upgrade of the older daemons',
        )
    return tuple(each for each in registered() if each.belongs_to(revision))


def check_objects(
    objects: ObjectSet,
    rules: int = RULES_REVISION,
    *,
    accepted: ObjectSet | None = None,
) -> Problems:
    """Return all problems of a set under a revision of the rules.

    The set is valid if none of them is a refusal; warnings may remain. If
    ``accepted`` is given, a set that is valid under the same revision, then
    local checks skip the objects that both sets share, and warnings are left
    out. Raises :class:`UnknownRulesError` for a revision of another release.
    """
    checks = find_rules(rules)
    if accepted is None:
        return _run(checks, objects, objects)
    mandatory = tuple(each for each in checks if not each.is_advisory)
    return _run(mandatory, objects, _without_shared(objects, accepted))


def _run(
    checks: tuple[Check, ...],
    objects: ObjectSet,
    changed: ObjectSet,
) -> Problems:
    problems: list[Problem] = []
    for each in checks:
        problems.extend(each.find(changed if each.is_local else objects))
    return tuple(problems)


def _without_shared(objects: ObjectSet, accepted: ObjectSet) -> ObjectSet:
    return make_set(
        {kind.key: _changed_objects(kind, objects, accepted) for kind in KINDS}
    )


def _changed_objects(
    kind: Kind,
    objects: ObjectSet,
    accepted: ObjectSet,
) -> Mapping[str, AnyObject]:
    before = kind.of(accepted)
    return {
        name: model
        for name, model in kind.of(objects).items()
        if before.get(name) is not model
    }
