"""Test that a review finds what would never work as its author means."""

import json
from pathlib import Path

import attrs
import pytest
from typer.testing import CliRunner

from goldcrestwharf.http1 import CallerLimits
from goldcrestwharf.policy import PolicySnapshot
from goldcrestwharf.review import (
    ReviewContext,
    list_changes,
    review_configuration,
)
from goldcrestwharf.ui import app
from goldcrestwharf.workspaces import Workspace, WorkspaceTable
from test.platform.helper import make_configuration
from test.policy.helper import make_route, make_snapshot

ALPHA = Workspace(name='alpha', key_digests=frozenset((b'1',)))


def with_workspace(**changes: object) -> PolicySnapshot:
    workspace = attrs.evolve(ALPHA, **changes)
    return attrs.evolve(
        make_snapshot(1), workspaces=WorkspaceTable(workspaces=(workspace,))
    )


@pytest.mark.parametrize(
    ('snapshot', 'expected'),
    [
        (
            make_snapshot(1, make_route(name='first'), make_route()),
            'route "first": it never matches, since route "menu"',
        ),
        (
            make_snapshot(1, make_route(path_prefix='/a?b/')),
            "since no path contains '?'",
        ),
        (
            make_snapshot(1, make_route(weights=(('kitchen', 1), ('bar', 0)))),
            'its part for service "bar" has weight 0',
        ),
        (
            attrs.evolve(
                make_snapshot(1), services=frozenset(('kitchen', 'bar'))
            ),
            'service "bar": no route leads to it',
        ),
        (
            make_snapshot(1, make_route(timeout=0.1)),
            'its timeout of 0.1 s is under its objective of 0.2 s',
        ),
        (
            make_snapshot(1, make_route(max_tries=4)),
            'it allows 4 attempts, but service "kitchen" has 3 targets',
        ),
        (
            make_snapshot(1, make_route(is_public=True)),
            'it is public, but there are no workspaces',
        ),
        (
            attrs.evolve(
                make_snapshot(1), limits=CallerLimits(max_head_bytes=6)
            ),
            'its prefix is longer than the 6 bytes',
        ),
        (
            attrs.evolve(make_snapshot(1), limits=CallerLimits(head_timeout=0)),
            'the timeout of heads is 0',
        ),
        (with_workspace(key_digests=frozenset()), 'it has no key'),
        (
            with_workspace(rate=2, burst=9),
            'its burst of 9 requests is above its limit of 2 a second',
        ),
        (with_workspace(burst=9), 'has no effect, since it has no limit'),
    ],
)
def test_entry_without_effect_is_found(
    snapshot: PolicySnapshot, expected: str
) -> None:
    context = ReviewContext(snapshot=snapshot, target_counts={'kitchen': 3})
    found = review_configuration(context)
    assert len(found) == 1
    assert expected in str(found[0])


def test_sound_configuration_has_no_problems() -> None:
    for snapshot in (make_snapshot(1), with_workspace(rate=9, burst=9)):
        assert not review_configuration(ReviewContext(snapshot=snapshot))


def test_changes_are_listed_without_keys() -> None:
    before = with_workspace(rate=2)
    after = attrs.evolve(
        with_workspace(rate=3, key_digests=frozenset((b'2', b'3'))),
        version=1,
        table=make_snapshot(1, make_route(timeout=1)).table,
        services=frozenset(('kitchen', 'bar')),
    )
    assert list_changes(before, after) == [
        'version 1 is not above version 1 in force, so no daemon adopts it',
        'service bar: added',
        'route shop.example/menu/: timeout 0.5 -> 1',
        'workspace alpha: 2 keys added, 1 removed',
        'workspace alpha: rate 2 -> 3',
    ]
    assert not list_changes(before, attrs.evolve(before, version=2))


def test_command_reviews_a_file_of_the_platform(tmp_path: Path) -> None:
    def write(name: str, document: object) -> str:
        path = tmp_path / name
        path.write_text(json.dumps(document))
        return str(path)

    running = write('running.json', make_configuration(3))
    changed = write('new.json', make_configuration(4, priority=1))
    broken = write('broken.json', make_configuration(4, route_type='odd'))
    runner = CliRunner()
    shown = runner.invoke(app, ['review', changed, '--against', running])
    assert shown.exit_code == 0
    assert 'route shop.example/menu/: priority 2 -> 1' in shown.output
    assert 'service "bar": no route leads to it' in shown.output
    refused = runner.invoke(app, ['review', broken])
    assert refused.exit_code == 1
    assert "unknown route type 'odd'" in refused.output
