"""Refuse changes that are probably mistakes, unless asked for."""

import attrs
import pytest

from goldcrestwharf.objects import (
    ObjectSet,
    Service,
    TargetGroup,
    check_change,
)

EMPTY = ObjectSet()


def groups(*names: str) -> ObjectSet:
    return ObjectSet(target_groups={name: TargetGroup() for name in names})


@pytest.mark.parametrize(
    ('previous', 'proposed', 'reasons'),
    [
        (EMPTY, groups('a'), []),
        (EMPTY, EMPTY, ['it is empty']),
        (groups('a', 'b'), groups('a'), []),
        (groups('a', 'b', 'c'), groups('a'), ['it removes 2 of 3 objects']),
        (groups('a', 'b'), groups('c', 'd'), ['it removes 2 of 2 objects']),
        (groups('a'), EMPTY, ['it is empty', 'it removes 1 of 1 objects']),
        (
            attrs.evolve(
                groups('a'), services={'a': Service(target_group='a')}
            ),
            groups('a'),
            [],
        ),
    ],
)
def test_large_removal_needs_the_flag(
    previous: ObjectSet,
    proposed: ObjectSet,
    reasons: list[str],
) -> None:
    problems = check_change(previous, proposed)
    assert len(problems) == len(reasons)
    for problem, reason in zip(problems, reasons, strict=True):
        assert problem.is_refusal
        assert problem.reason.startswith(reason)
    assert not check_change(previous, proposed, allow_large_removal=True)


OURS = TargetGroup(team='kitchen')
THEIRS = TargetGroup(team='wire')
NOBODYS = TargetGroup()


def owned(group: TargetGroup | None) -> ObjectSet:
    named = {'kept': THEIRS, 'kept-2': THEIRS}
    if group is not None:
        named['a'] = group
    return ObjectSet(target_groups=named)


@pytest.mark.parametrize(
    ('before', 'after', 'is_refused'),
    [
        (OURS, attrs.evolve(OURS, slots=3), False),
        (OURS, None, False),
        (None, OURS, False),
        (NOBODYS, OURS, False),
        (NOBODYS, attrs.evolve(NOBODYS, slots=3), False),
        (OURS, NOBODYS, False),
        (THEIRS, THEIRS, False),
        (THEIRS, attrs.evolve(THEIRS, slots=3), True),
        (THEIRS, None, True),
        (THEIRS, OURS, True),
        (THEIRS, NOBODYS, True),
        (None, THEIRS, True),
        (OURS, THEIRS, True),
    ],
)
def test_team_changes_its_own_objects_alone(
    before: TargetGroup | None,
    after: TargetGroup | None,
    is_refused: bool,
) -> None:
    problems = check_change(owned(before), owned(after), team='kitchen')
    assert bool(problems) is is_refused
    assert all('team "wire" owns it' in str(each) for each in problems)
    assert not check_change(owned(before), owned(after))
