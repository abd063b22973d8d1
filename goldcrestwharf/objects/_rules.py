"""Tell which checks a revision of the rules consists of, and run them."""

from goldcrestwharf.documents import Problems
from goldcrestwharf.objects import (
    _check_bounds,
    _check_limits,
    _check_names,
    _check_references,
    _check_routes,
    _check_use,
)
from goldcrestwharf.objects._errors import UnknownRulesError
from goldcrestwharf.objects._model import ObjectSet
from goldcrestwharf.objects._registry import Check, registered

#: The revision that this release publishes under.
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
) -> Problems:
    """Return all problems of a set under a revision of the rules.

    The set is valid if none of them is a refusal; warnings may remain.
    Raises :class:`UnknownRulesError` for a revision of another release.
    """
    return tuple(
        problem for each in find_rules(rules) for problem in each.find(objects)
    )
