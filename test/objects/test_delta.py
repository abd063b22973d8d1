"""Test that a delta results in exactly the later set or is refused."""

import pytest
from hypothesis import given, settings

from goldcrestwharf.objects import (
    DeltaError,
    ObjectDelta,
    ObjectSet,
    RemovedNames,
    TargetGroup,
    apply_delta,
    diff,
)
from test.objects.strategies import OBJECT_SETS

OLD = ObjectSet(target_groups={'a': TargetGroup(), 'b': TargetGroup()})


@given(OBJECT_SETS, OBJECT_SETS)
@settings(derandomize=True, max_examples=200, deadline=None)
def test_delta_results_in_the_later_set(old: ObjectSet, new: ObjectSet) -> None:
    assert apply_delta(old, diff(old, new)) == new


@given(OBJECT_SETS)
@settings(derandomize=True, max_examples=50, deadline=None)
def test_equal_sets_have_no_difference(objects: ObjectSet) -> None:
    assert diff(objects, objects).is_empty


def test_unchanged_objects_are_shared() -> None:
    put = ObjectSet(target_groups={'b': TargetGroup(slots=3)})
    result_set = apply_delta(OLD, ObjectDelta(put=put))
    assert result_set.target_groups['a'] is OLD.target_groups['a']
    assert OLD.target_groups['b'] == TargetGroup()


@pytest.mark.parametrize(
    ('delta', 'reason'),
    [
        (
            ObjectDelta(removed=RemovedNames(target_groups=('c',))),
            'there is no target group "c" to remove',
        ),
        (
            ObjectDelta(removed=RemovedNames(services=('a',))),
            'there is no service "a" to remove',
        ),
        (
            ObjectDelta(removed=RemovedNames(target_groups=('a', 'a'))),
            'removes a target group twice',
        ),
        (
            ObjectDelta(put=OLD, removed=RemovedNames(target_groups=('a',))),
            'target group "a" is both put and removed',
        ),
    ],
)
def test_inapplicable_delta_is_refused(
    delta: ObjectDelta,
    reason: str,
) -> None:
    with pytest.raises(DeltaError, match=reason) as caught:
        apply_delta(OLD, delta)
    assert 'create the delta again' in caught.value.remedy
