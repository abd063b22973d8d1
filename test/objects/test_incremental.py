"""Test that checking a change finds the same refusals as a full check."""

import attrs
import pytest

from goldcrestwharf.documents import refusals
from goldcrestwharf.objects import (
    RULES_REVISION,
    ObjectSet,
    Route,
    Service,
    TargetGroup,
    check_objects,
    find_rules,
)

ACCEPTED = ObjectSet(
    target_groups={'a': TargetGroup(), 'b': TargetGroup(slots=3)},
    services={'a': Service(target_group='a'), 'b': Service(target_group='b')},
    routes={
        'a': Route(service='a', host='a.example'),
        'b': Route(service='b', host='b.example'),
    },
)

SPLIT = Service(target_group='a', split={'a': 1, 'b': 100})
CHANGES = (
    {'target_groups': {'b': TargetGroup()}},
    {'target_groups': ACCEPTED.target_groups | {'a': TargetGroup(slots=0)}},
    {'target_groups': ACCEPTED.target_groups | {'A': TargetGroup()}},
    {'target_groups': ACCEPTED.target_groups | {'': TargetGroup()}},
    {'services': {'a': Service(target_group='a')}},
    {'services': ACCEPTED.services | {'b': Service(target_group='c')}},
    {
        'services': ACCEPTED.services
        | {'c': Service(target_group='a', max_tries=9)}
    },
    {'services': ACCEPTED.services | {'b': SPLIT}},
    {'services': {}},
    {'routes': ACCEPTED.routes | {'c': ACCEPTED.routes['a']}},
    {'routes': ACCEPTED.routes | {'b': ACCEPTED.routes['a']}},
    {'routes': ACCEPTED.routes | {'b': Route(service='b', host='B.example')}},
    {'routes': ACCEPTED.routes | {'b': Route(service='b', path_prefix='x')}},
    {'routes': ACCEPTED.routes | {'b': Route(service='b', methods=('GTE',))}},
    {'routes': {'b ': ACCEPTED.routes['b']}},
    {'routes': {}},
    {},
)

#: The changes that a full check accepts; it refuses all others.
VALID_CHANGES = ({'routes': {}}, {})


def test_accepted_set_is_valid() -> None:
    assert check_objects(ACCEPTED) == ()


@pytest.mark.parametrize('change', CHANGES, ids=str)
def test_incremental_check_finds_the_refusals_of_the_full_check(
    change: dict[str, dict[str, object]],
) -> None:
    proposed = attrs.evolve(ACCEPTED, **change)
    full_refusals = refusals(check_objects(proposed))
    assert refusals(check_objects(proposed, accepted=ACCEPTED)) == full_refusals
    assert bool(full_refusals) is (change not in VALID_CHANGES)


def test_advisory_checks_yield_only_warnings() -> None:
    for change in CHANGES:
        proposed = attrs.evolve(ACCEPTED, **change)
        for check in find_rules(RULES_REVISION):
            problems = tuple(check.find(proposed))
            assert not check.is_advisory or not refusals(problems)
