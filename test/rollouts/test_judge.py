"""Check the comparison of a new version with the old one."""

import pytest

from goldcrestwharf.rollouts import Fault, RouteEvidence, judge
from goldcrestwharf.rollouts._certainty import EARLY, FINAL
from test.helper import make_rng
from test.rollouts.helper import Owner


def collect(owner: Owner) -> dict[str, RouteEvidence]:
    return dict(*owner.report().by_version.values())


def make_old() -> Owner:
    old = Owner('old', 'v1')
    old.answer(good=2000, failed=10)
    old.answer(good=300, route='warning', seconds=0.3)
    return old


@pytest.mark.parametrize('share', [0.3, 0.5, 1])
def test_failing_version_is_found_after_few_bad_answers(share: float) -> None:
    """Guards against a bad version that runs until its fiftieth failure."""
    rng = make_rng()
    new = Owner('new', 'v2')
    old = collect(make_old())
    finding = None
    while finding is None:
        has_failed = rng.random() < share
        new.answer(good=not has_failed, failed=has_failed)
        finding = judge(collect(new), old, EARLY)
    assert finding.fault is Fault.FAILURES
    assert finding.bad <= 10


def test_good_versions_are_rarely_found_bad() -> None:
    """Load: 500 roll-outs of 400 answers, 1 % failing, tested at each answer.

    A naive rule, more failures than the old version at any time after 20
    answers, ends most of these roll-outs.
    """
    rng = make_rng()
    old = collect(make_old())
    found, naive = 0, 0
    for _ in range(500):
        new = Owner('new', 'v2')
        is_found, is_naive = False, False
        for number in range(400):
            has_failed = rng.random() < 0.01
            new.answer(good=not has_failed, failed=has_failed)
            counts = collect(new)['fetch']
            if has_failed:
                is_found |= judge(collect(new), old, EARLY) is not None
            is_naive |= number > 20 and counts.failures > 0.005 * number
        found += is_found
        naive += is_naive
    assert found <= 2
    assert naive > 400


def test_fault_on_one_route_is_found_among_many_good_answers() -> None:
    """Guards against a fault that is diluted by the other routes."""
    new = Owner('new', 'v2')
    new.answer(good=400)
    new.answer(good=2, failed=6, route='warning')
    finding = judge(collect(new), collect(make_old()), EARLY)
    assert finding is not None
    assert finding.route == 'warning'


def test_few_failures_of_a_quiet_route_count_at_the_end() -> None:
    new = Owner('new', 'v2')
    new.answer(good=3, failed=3, route='warning')
    old = collect(make_old())
    assert judge(collect(new), old, EARLY) is None
    assert judge(collect(new), old, FINAL) is not None


def test_part_of_the_answers_that_are_several_times_slower_is_found() -> None:
    new = Owner('new', 'v2')
    new.answer(good=12)
    new.answer(good=16, seconds=0.8)
    finding = judge(collect(new), collect(make_old()), EARLY)
    assert finding is not None
    assert finding.fault is Fault.SLOW


def test_slower_machines_are_no_slow_version() -> None:
    """Load: times of targets at 1.7 of the mean speed, one in ten at 4.2.

    A naive rule by the mean, half as much more, finds them slow.
    """
    new = Owner('new', 'v2')
    new.answer(good=90, seconds=0.34)
    new.answer(good=10, seconds=0.84)
    assert judge(collect(new), collect(make_old()), FINAL) is None
    naive_mean = (90 * 0.34 + 10 * 0.84) / 100
    assert naive_mean > 1.5 * 0.2


def test_nothing_is_judged_without_answers_of_the_old_version() -> None:
    """Guards against a verdict before the reports of old targets arrive."""
    new = Owner('new', 'v2')
    new.answer(good=10, failed=6, seconds=3)
    assert judge(collect(new), {}, EARLY) is None
