"""Test the choice of a target, the split of a route and retry budgets."""

import pytest

from goldcrestwharf.placement import (
    Candidate,
    Demand,
    LoadEstimate,
    LoadReport,
    Placement,
    RequestClassStats,
    RetryBudget,
    RetryBudgetTerms,
    WeightedSplit,
)
from test.helper import make_rng
from test.policy.helper import make_route


def make_candidate(
    name: str,
    *,
    is_local_zone: bool = True,
    is_draining: bool = False,
    slow_start_until: float = 0,
    **report: float,
) -> Candidate:
    load = LoadEstimate()
    fields = {'busy': 0, 'slots': 10, 'service_time': 0.06, **report}
    load.update(LoadReport(**fields))  # type: ignore[arg-type]
    return Candidate(
        daemon=name,
        instance_id=f'i-{name}',
        service='kitchen',
        is_local_zone=is_local_zone,
        is_draining=is_draining,
        slow_start_until=slow_start_until,
        load=load,
    )


def choose(*candidates: Candidate, **demand: object) -> str | None:
    placement = Placement(rng=make_rng())
    fields: dict[str, object] = {'objective': 0.2, **demand}
    wanted = Demand(**fields)  # type: ignore[arg-type]
    choice = placement.choose(candidates, wanted, 1)
    return choice.candidate.daemon if choice else None


def test_local_zone_is_preferred_while_it_has_spare_capacity() -> None:
    near = make_candidate('near', busy=6)
    far = make_candidate('far', is_local_zone=False)
    assert choose(near, far, size=1000) == 'near'


def test_request_goes_to_other_zone_if_local_zone_is_full() -> None:
    near = make_candidate('near', busy=45)
    far = make_candidate('far', is_local_zone=False)
    assert choose(near, far, size=1000) == 'far'


def test_large_request_stays_local_at_a_load_that_moves_a_small_one() -> None:
    near = make_candidate('near', busy=19)
    far = make_candidate('far', is_local_zone=False)
    assert choose(near, far, size=100) == 'far'
    assert choose(near, far, size=6000) == 'near'


def test_faster_of_two_local_targets_is_chosen() -> None:
    slow = make_candidate('slow', service_time=0.12)
    fast = make_candidate('fast', service_time=0.05)
    assert choose(slow, fast) == 'fast'


def test_target_in_slow_start_counts_as_slower() -> None:
    slow_start = make_candidate(
        'slow_start', slow_start_until=3, service_time=0.05
    )
    other = make_candidate('other', service_time=0.06)
    assert choose(slow_start, other) == 'other'


def test_failing_target_is_chosen_only_without_alternative() -> None:
    failing = make_candidate('failing', failure_share=0.5)
    far = make_candidate('far', is_local_zone=False, busy=5)
    assert choose(failing, far) == 'far'
    assert choose(failing) == 'failing'


def test_draining_target_is_chosen_only_without_alternative() -> None:
    leaving = make_candidate('leaving', is_draining=True)
    busy = make_candidate('busy', busy=40)
    assert choose(leaving, busy) == 'busy'
    assert choose(leaving) == 'leaving'


def test_tried_daemons_are_excluded() -> None:
    candidate = make_candidate('only')
    assert choose(candidate, tried=frozenset(('only',))) is None


def test_outstanding_requests_count_until_the_next_report() -> None:
    estimate = LoadEstimate()
    estimate.update(LoadReport(busy=4, slots=10, service_time=0.05))
    estimate.outstanding = 8
    assert estimate.busy == 12
    assert estimate.expected_wait == pytest.approx(3 * 0.05 / 10)
    estimate.update(LoadReport(busy=9, slots=10, service_time=0.05))
    assert estimate.busy == 9


def test_daemons_with_the_same_stale_reports_spread_over_equal_targets() -> (
    None
):
    rng = make_rng()
    counts = {'a': 0, 'b': 0, 'c': 0}
    for _ in range(300):
        # Each daemon has the same stale reports and chooses once.
        candidates = [make_candidate(name) for name in counts]
        placement = Placement(rng=rng)
        choice = placement.choose(candidates, Demand(objective=0.2), 1)
        assert choice is not None
        counts[choice.candidate.daemon] += 1
    assert min(counts.values()) > 60


def test_request_class_stats_converge_to_sizes_and_relative_times() -> None:
    stats = RequestClassStats()
    for _ in range(200):
        stats.record('call', size=40, relative_time=0.3)
        stats.record('order', size=700, relative_time=2)
    assert stats.find('call').relative_time == pytest.approx(0.3, abs=0.01)
    assert stats.find('order').size == pytest.approx(700, rel=0.01)
    assert stats.find('new').relative_time == 1


@pytest.mark.parametrize('weights', [(90, 10), (1, 1), (50, 30, 20)])
def test_shares_hold_over_few_requests(
    weights: tuple[int, ...],
) -> None:
    split = WeightedSplit(rng=make_rng())
    names = [f's{number}' for number in range(len(weights))]
    route = make_route(weights=tuple(zip(names, weights, strict=True)))
    chosen = [split.choose(route) for _ in range(100)]
    for name, weight in zip(names, weights, strict=True):
        share = 100 * weight / sum(weights)
        assert abs(chosen.count(name) - share) <= 2


def test_service_with_zero_weight_gets_no_requests() -> None:
    split = WeightedSplit(rng=make_rng())
    route = make_route(weights=(('old', 0), ('new', 5)))
    assert {split.choose(route) for _ in range(20)} == {'new'}


def test_changed_weights_apply_to_the_next_request() -> None:
    split = WeightedSplit(rng=make_rng())
    split.choose(make_route(weights=(('a', 1), ('b', 1))))
    moved = make_route(weights=(('c', 1), ('b', 0)))
    assert {split.choose(moved) for _ in range(5)} == {'c'}


BUDGET_TERMS = RetryBudgetTerms(ratio=0.2, slack=60, window=10)


def use_budget(budget: RetryBudget, *, members: int, now: float) -> int:
    retries = 0
    while budget.allows_retry(members=members, now=now):
        budget.record_retry(now)
        retries += 1
    return retries


def test_retries_of_all_daemons_stay_within_the_common_budget() -> None:
    members = 14
    retries = 0
    first_attempts = 0
    for _ in range(members):
        budget = RetryBudget(terms=BUDGET_TERMS)
        for number in range(100):
            budget.record_first_attempt(5 + number / 100)
            first_attempts += 1
        retries += use_budget(budget, members=members, now=6)
    assert (
        0 < retries <= BUDGET_TERMS.ratio * first_attempts + BUDGET_TERMS.slack
    )


def test_retries_stay_within_the_budget_in_every_window() -> None:
    budget = RetryBudget(terms=BUDGET_TERMS)
    retries = [
        (now / 4, use_budget(budget, members=2, now=now / 4))
        for now in range(120)
    ]
    for start, _ in retries:
        inside = sum(
            count
            for at, count in retries
            if start <= at < start + BUDGET_TERMS.window
        )
        assert inside <= BUDGET_TERMS.slack / 2


@pytest.mark.parametrize(
    ('limit', 'busy', 'wait'),
    [
        (None, 10, 0.06 / 10),
        (50, 0, 0),
        # At 50 a second, three requests of 60 ms run at once.
        (50, 3, 1 / 50),
        (50, 8, 6 / 50),
        (1, 0, 0),
        (1, 2, 2),
        (1000, 10, 0.06 / 10),
    ],
)
def test_expected_wait_follows_the_limit_of_a_target(
    limit: float | None, busy: int, wait: float
) -> None:
    load = LoadEstimate()
    load.limit = limit
    load.update(LoadReport(busy=busy, slots=10, service_time=0.06))
    assert load.expected_wait == pytest.approx(wait)
