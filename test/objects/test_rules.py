"""Test that released revisions of the rules stay frozen."""

from pathlib import Path

import attrs
import pytest

from goldcrestwharf.documents import render_reference
from goldcrestwharf.objects import (
    RULES_REVISION,
    ObjectSet,
    Route,
    Service,
    TargetGroup,
    UnknownRulesError,
    check_objects,
    find_rules,
)

CHECKS_OF_FIRST_REVISION = (
    'fields-within-bounds',
    'names-distinct',
    'names-look-distinct',
    'names-well-formed',
    'route-host-form',
    'route-methods-known',
    'route-path-form',
    'route-repeats-safely',
    'route-service-exists',
    'routes-distinct',
    'service-split-adds-up',
    'service-split-exists',
    'service-target-group-exists',
    'service-tries-have-budget',
    'service-used',
    'set-not-empty',
    'target-group-connections-suffice',
    'target-group-keeps-targets',
    'target-group-queue-short',
    'target-group-used',
)

GROUP = TargetGroup()
SERVICE = Service(target_group='menu-pool')
ROUTE = Route(service='menu')
VALID = ObjectSet(
    target_groups={'menu-pool': GROUP},
    services={'menu': SERVICE},
    routes={'menu-web': ROUTE},
)


def test_first_revision_has_its_checks() -> None:
    names = tuple(each.name for each in find_rules(1))
    assert names == CHECKS_OF_FIRST_REVISION


def drop_summary(row: str) -> str:
    return row.rsplit('|', 2)[0]


def test_schema_of_first_revision_is_frozen() -> None:
    """A change of fields, defaults or bounds needs a new revision."""
    rows = [
        f'{model.__name__}: {drop_summary(row)}'
        for model in (TargetGroup, Service, Route)
        for row in render_reference(model).splitlines()[2:]
    ]
    frozen = Path(__file__).with_name('schema-of-revision-1.txt')
    assert rows == frozen.read_text().splitlines()


def test_reference_page_has_each_field() -> None:
    page = Path(__file__).parents[2] / 'docs/reference/objects.md'
    for model in (TargetGroup, Service, Route):
        assert render_reference(model) in page.read_text()


def test_reference_page_has_each_check() -> None:
    page = Path(__file__).parents[2] / 'docs/reference/objects.md'
    written = page.read_text()
    for each in find_rules(RULES_REVISION):
        assert f'`{each.name}`' in written


@pytest.mark.parametrize('revision', [0, -1, RULES_REVISION + 1])
def test_revision_of_another_release_is_unknown(revision: int) -> None:
    with pytest.raises(UnknownRulesError, match='unknown revision'):
        check_objects(VALID, revision)


def test_valid_set_has_no_problems() -> None:
    assert check_objects(VALID) == ()


@pytest.mark.parametrize(
    ('objects', 'field'),
    [
        (attrs.evolve(VALID, target_groups={'menu-pool': group}), field)
        for group, field in (
            (TargetGroup(slots=0), 'slots'),
            (TargetGroup(slots=True), 'slots'),
            (TargetGroup(team='a\x00'), 'team'),
        )
    ]
    + [
        (attrs.evolve(VALID, services={'menu': service}), field)
        for service, field in (
            (attrs.evolve(SERVICE, timeout_ms=-1), 'timeout_ms'),
            (attrs.evolve(SERVICE, max_tries=3000), 'max_tries'),
            (attrs.evolve(SERVICE, split={'menu-pool': -1}), 'split.menu-pool'),
            (attrs.evolve(SERVICE, target_group=''), 'target_group'),
        )
    ]
    + [
        (attrs.evolve(VALID, routes={'menu-web': route}), field)
        for route, field in (
            (attrs.evolve(ROUTE, methods=('GET', 'GET')), 'methods'),
            (attrs.evolve(ROUTE, repeatable=1), 'repeatable'),
            (attrs.evolve(ROUTE, service=''), 'service'),
            (attrs.evolve(ROUTE, path_prefix='menu\n'), 'path_prefix'),
            (attrs.evolve(ROUTE, host='a\n'), 'host'),
        )
    ],
)
def test_set_from_the_log_is_checked_against_the_schema(
    objects: ObjectSet,
    field: str,
) -> None:
    """A faulty publisher may write an invalid set to the log."""
    refused = [each for each in check_objects(objects) if each.is_refusal]
    assert field in [problem.place.field for problem in refused]
