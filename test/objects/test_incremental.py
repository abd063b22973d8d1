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

OLD = ObjectSet(
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
    {'target_groups': OLD.target_groups | {'a': TargetGroup(slots=0)}},
    {'target_groups': OLD.target_groups | {'A': TargetGroup()}},
    {'target_groups': OLD.target_groups | {'': TargetGroup()}},
    {'services': {'a': Service(target_group='a')}},
    {'services': OLD.services | {'b': Service(target_group='c')}},
    {'services': OLD.services | {'c': Service(target_group='a', max_tries=9)}},
    {'services': OLD.services | {'b': SPLIT}},
    {'services': {}},
    {'routes': OLD.routes | {'c': OLD.routes['a']}},
    {'routes': OLD.routes | {'b': OLD.routes['a']}},
    {'routes': OLD.routes | {'b': Route(service='b', host='B.example')}},
    {'routes': OLD.routes | {'b': Route(service='b', path_prefix='x')}},
    {'routes': OLD.routes | {'b': Route(service='b', methods=('GTE',))}},
    {'routes': {'b ': OLD.routes['b']}},
    {'routes': {}},
    {},
)


def test_accepted_set_is_valid() -> None:
    assert check_objects(OLD) == ()


@pytest.mark.parametrize('change', CHANGES, ids=str)
def test_incremental_check_finds_the_refusals_of_the_full_check(
    change: dict[str, dict[str, object]],
) -> None:
    proposed = attrs.evolve(OLD, **change)
    whole = refusals(check_objects(proposed))
    assert refusals(check_objects(proposed, accepted=OLD)) == whole
    assert bool(whole) is (change not in ({}, {'routes': {}}))


def test_advisory_checks_yield_only_warnings() -> None:
    for change in CHANGES:
        proposed = attrs.evolve(OLD, **change)
        for each in find_rules(RULES_REVISION):
            problems = tuple(each.find(proposed))
            assert not each.is_advisory or not refusals(problems)
