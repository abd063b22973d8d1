"""Registry of the rules of a review."""

from collections.abc import Callable, Iterator, Mapping
from types import MappingProxyType

import attrs

from goldcrestwharf.documents import (
    Place,
    Problem,
    Problems,
    Severity,
    sort_problems,
)
from goldcrestwharf.policy import PolicySnapshot

#: Targets of a service by its name.
TargetCounts = Mapping[str, int]


@attrs.frozen(kw_only=True)
class ReviewContext:
    """Configuration to review, and what is known of the fleet.

    ``target_counts`` may lack services, as targets announce themselves.
    """

    snapshot: PolicySnapshot
    target_counts: TargetCounts = MappingProxyType({})


Rule = Callable[[ReviewContext], Iterator[Problem]]

_rules: dict[str, Rule] = {}


def rule(name: str) -> Callable[[Rule], Rule]:
    """Register a function that yields the problems of a configuration."""

    def decorator(find: Rule) -> Rule:
        if name in _rules:
            raise ValueError(f'rule name {name!r} is taken already')
        _rules[name] = find
        return find

    return decorator


def review_configuration(context: ReviewContext) -> Problems:
    """Return the problems that all rules find, refusals first."""
    found = [
        problem for name in sorted(_rules) for problem in _rules[name](context)
    ]
    return sort_problems(tuple(found))


def warn(place: Place, reason: str, remedy: str) -> Problem:
    """Return a problem that doesn't prevent the configuration's use."""
    return Problem(
        place=place,
        reason=reason,
        remedy=remedy,
        severity=Severity.WARNING,
    )


def format_number(number: float) -> str:
    """Return a number without needless zeros."""
    return format(number, 'g')
