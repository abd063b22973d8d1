"""Play loads against the choice of a target and see who gets what."""

import pytest

from goldcrestwharf.placement import (
    BudgetTerms,
    Demand,
    KindBook,
    LoadReport,
    LoadView,
    Place,
    Placement,
    RepeatBudget,
    WeightedSplit,
)
from test.helper import make_rng
from test.policy.helper import make_route


def make_place(
    name: str,
    *,
    is_own_zone: bool = True,
    is_draining: bool = False,
    cold_until: float = 0,
    **report: float,
) -> Place:
    load = LoadView()
    fields = {'busy': 0, 'slots': 10, 'hold': 0.06, **report}
    load.note(LoadReport(**fields))  # type: ignore[arg-type]
    return Place(
        daemon=name,
        instance_id=f'i-{name}',
        service='kitchen',
        is_own_zone=is_own_zone,
        is_draining=is_draining,
        cold_until=cold_until,
        load=load,
    )


def choose(*places: Place, **demand: object) -> str | None:
    placement = Placement(rng=make_rng())
    fields: dict[str, object] = {'objective': 0.2, **demand}
    wanted = Demand(**fields)  # type: ignore[arg-type]
    choice = placement.choose(places, wanted, 1)
    return choice.place.daemon if choice else None


def test_own_zone_goes_first_while_it_has_room() -> None:
    near = make_place('near', busy=6)
    far = make_place('far', is_own_zone=False)
    assert choose(near, far, size=1000) == 'near'


def test_full_own_zone_spills_over() -> None:
    near = make_place('near', busy=45)
    far = make_place('far', is_own_zone=False)
    assert choose(near, far, size=1000) == 'far'


def test_large_request_stays_where_a_small_one_leaves() -> None:
    near = make_place('near', busy=19)
    far = make_place('far', is_own_zone=False)
    assert choose(near, far, size=100) == 'far'
    assert choose(near, far, size=6000) == 'near'


def test_faster_of_two_targets_of_one_zone_is_chosen() -> None:
    slow = make_place('slow', hold=0.12)
    fast = make_place('fast', hold=0.05)
    assert choose(slow, fast) == 'fast'


def test_cold_target_counts_as_slower() -> None:
    cold = make_place('cold', cold_until=3, hold=0.05)
    warm = make_place('warm', hold=0.06)
    assert choose(cold, warm) == 'warm'


def test_failing_target_is_avoided_but_used_if_alone() -> None:
    grey = make_place('grey', failure_share=0.5)
    far = make_place('far', is_own_zone=False, busy=5)
    assert choose(grey, far) == 'far'
    assert choose(grey) == 'grey'


def test_draining_target_is_the_last_resort() -> None:
    leaving = make_place('leaving', is_draining=True)
    busy = make_place('busy', busy=40)
    assert choose(leaving, busy) == 'busy'
    assert choose(leaving) == 'leaving'


def test_tried_daemons_are_not_chosen_again() -> None:
    place = make_place('only')
    assert choose(place, tried=frozenset(('only',))) is None


def test_own_requests_under_way_count_before_the_next_report() -> None:
    view = LoadView()
    view.note(LoadReport(busy=4, slots=10, hold=0.05))
    view.outstanding = 8
    assert view.busy == 12
    assert view.wait == pytest.approx(3 * 0.05 / 10)
    view.note(LoadReport(busy=9, slots=10, hold=0.05))
    assert view.busy == 9


def test_many_daemons_spread_over_equal_targets() -> None:
    rng = make_rng()
    counts = {'a': 0, 'b': 0, 'c': 0}
    for _ in range(300):
        # Each daemon has the same stale view and chooses once.
        places = [make_place(name) for name in counts]
        placement = Placement(rng=rng)
        choice = placement.choose(places, Demand(objective=0.2), 1)
        assert choice is not None
        counts[choice.place.daemon] += 1
    assert min(counts.values()) > 60


def test_kind_book_learns_sizes_and_lengths() -> None:
    book = KindBook()
    for _ in range(200):
        book.note('call', size=40, length=0.3)
        book.note('order', size=700, length=2)
    assert book.find('call').length == pytest.approx(0.3, abs=0.01)
    assert book.find('order').size == pytest.approx(700, rel=0.01)
    assert book.find('new').length == 1


@pytest.mark.parametrize('weights', [(90, 10), (1, 1), (50, 30, 20)])
def test_each_service_gets_its_share_of_few_requests(
    weights: tuple[int, ...],
) -> None:
    split = WeightedSplit(rng=make_rng())
    names = [f's{number}' for number in range(len(weights))]
    route = make_route(weights=tuple(zip(names, weights, strict=True)))
    picked = [split.pick(route) for _ in range(100)]
    for name, weight in zip(names, weights, strict=True):
        share = 100 * weight / sum(weights)
        assert abs(picked.count(name) - share) <= 2


def test_service_without_weight_gets_nothing() -> None:
    split = WeightedSplit(rng=make_rng())
    route = make_route(weights=(('old', 0), ('new', 5)))
    assert {split.pick(route) for _ in range(20)} == {'new'}


def test_new_weights_take_effect_at_once() -> None:
    split = WeightedSplit(rng=make_rng())
    split.pick(make_route(weights=(('a', 1), ('b', 1))))
    moved = make_route(weights=(('c', 1), ('b', 0)))
    assert {split.pick(moved) for _ in range(5)} == {'c'}


TERMS = BudgetTerms(ratio=0.2, slack=60, window=10)


def spend_all(budget: RepeatBudget, *, members: int, now: float) -> int:
    spent = 0
    while budget.has_room(members=members, now=now):
        budget.spend(now)
        spent += 1
    return spent


def test_all_daemons_together_keep_the_common_budget() -> None:
    members = 14
    spent = 0
    firsts = 0
    for _ in range(members):
        budget = RepeatBudget(terms=TERMS)
        for number in range(100):
            budget.note_first(5 + number / 100)
            firsts += 1
        spent += spend_all(budget, members=members, now=6)
    assert 0 < spent <= TERMS.ratio * firsts + TERMS.slack


def test_budget_holds_in_every_sliding_window() -> None:
    budget = RepeatBudget(terms=TERMS)
    spent = [
        (now / 4, spend_all(budget, members=2, now=now / 4))
        for now in range(120)
    ]
    for start, _ in spent:
        inside = sum(
            count for at, count in spent if start <= at < start + TERMS.window
        )
        assert inside <= TERMS.slack / 2
