"""Test that changes which are probably mistakes need an explicit flag."""

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


OWN_GROUP = TargetGroup(team='kitchen')
FOREIGN_GROUP = TargetGroup(team='wire')
UNOWNED_GROUP = TargetGroup()


def owned(group: TargetGroup | None) -> ObjectSet:
    named = {'kept': FOREIGN_GROUP, 'kept-2': FOREIGN_GROUP}
    if group is not None:
        named['a'] = group
    return ObjectSet(target_groups=named)


@pytest.mark.parametrize(
    ('before', 'after', 'is_refused'),
    [
        (OWN_GROUP, attrs.evolve(OWN_GROUP, slots=3), False),
        (OWN_GROUP, None, False),
        (None, OWN_GROUP, False),
        (UNOWNED_GROUP, OWN_GROUP, False),
        (UNOWNED_GROUP, attrs.evolve(UNOWNED_GROUP, slots=3), False),
        (OWN_GROUP, UNOWNED_GROUP, False),
        (FOREIGN_GROUP, FOREIGN_GROUP, False),
        (FOREIGN_GROUP, attrs.evolve(FOREIGN_GROUP, slots=3), True),
        (FOREIGN_GROUP, None, True),
        (FOREIGN_GROUP, OWN_GROUP, True),
        (FOREIGN_GROUP, UNOWNED_GROUP, True),
        (None, FOREIGN_GROUP, True),
        (OWN_GROUP, FOREIGN_GROUP, True),
    ],
)
def test_team_may_change_only_its_objects(
    before: TargetGroup | None,
    after: TargetGroup | None,
    is_refused: bool,
) -> None:
    problems = check_change(owned(before), owned(after), team='kitchen')
    assert bool(problems) is is_refused
    assert all('team "wire" owns it' in str(each) for each in problems)
    assert not check_change(owned(before), owned(after))
