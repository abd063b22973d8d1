"""Test the learned limit on a model of one target under load.

The demand is the given part of the target's capacity and swings by three
tenths over 14 s. The rule is compared with the slots that the target names
(the earlier rule) and with a fixed 0.6 of them (the naive one).
"""

import math
import statistics

import attrs
import pytest

from goldcrestwharf.capacity import CapacityLimit, SlotSample
from test.capacity.scenes import make_scene, slow_from_four
from test.capacity.target_model import Scene, TargetModel

SEEDS = (1, 2)

#: Standard deviation between seeds of the share in time with the named slots.
SPREAD = 0.02


def find_share(scene: Scene, **rule: object) -> float:
    """Return the mean share of requests in time."""
    return statistics.mean(
        TargetModel(scene, seed=seed, **rule).run().share  # type: ignore[arg-type]
        for seed in SEEDS
    )


@pytest.mark.parametrize('load', [0.5, 0.9, 1.3])
@pytest.mark.parametrize('slots', [7, 13])
@pytest.mark.parametrize('name', 'acdefgh')
def test_target_that_is_not_slowed_by_its_load_loses_nothing(
    name: str, slots: int, load: float
) -> None:
    scene = attrs.evolve(make_scene(name, slots, load), seconds=60)
    learned = find_share(scene)
    assert learned >= find_share(scene, make_limit=None) - SPREAD
    fixed = find_share(scene, make_limit=None, fixed=round(slots * 0.6))
    assert learned > fixed


@pytest.mark.parametrize('load', [0.9, 1.3])
@pytest.mark.parametrize('slots', [7, 13])
def test_target_that_is_slowed_by_its_load_gains(
    slots: int, load: float
) -> None:
    scene = make_scene('b', slots, load)
    named = find_share(scene, make_limit=None)
    assert find_share(scene) >= named + 2 * SPREAD


def find_first(model: TargetModel, limits: range, since: float) -> float:
    """Return the seconds after ``since`` until the limit is in a range."""
    for changed_at, limit in model.limits:
        if changed_at >= since and limit in limits:
            return changed_at - since
    return 0 if model.scheduler.slots in limits else math.inf


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize('slots', [7, 13])
def test_limit_rises_when_the_slow_down_ends(slots: int, seed: int) -> None:
    # Demand is 1.5 times what the slowed target could bear.
    scene = attrs.evolve(make_scene('b', slots, 1.5), slow_until=40)
    model = TargetModel(scene, seed=seed).run()
    assert min(limit for _, limit in model.limits) < slots
    assert find_first(model, range(slots, slots + 1), 40) < 15


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize('slots', [7, 13])
def test_limit_falls_when_a_slow_down_begins(slots: int, seed: int) -> None:
    # Demand is 1.3 times what the slowed target can bear.
    scene = attrs.evolve(make_scene('b', slots, 1.3), slow_from=40)
    model = TargetModel(scene, seed=seed).run()
    assert find_first(model, range(1, slots), 0) >= 40
    assert find_first(model, range(1, slots), 40) < 20


def find_report_error(scene: Scene, **rule: object) -> float:
    """Return by how much the report overstates the throughput, as a ratio."""
    model = TargetModel(scene, seed=1, **rule)  # type: ignore[arg-type]
    errors = []
    for second in range(30, 90):
        before = model.answered
        model.run(until=second)
        rate = model.scheduler.slots / model.scheduler.service_times.mean
        errors.append(rate / max(model.answered - before, 1))
    return statistics.median(errors)


@pytest.mark.parametrize('slots', [7, 13])
def test_reported_time_fits_the_limit_better_than_the_named_slots(
    slots: int,
) -> None:
    # Demand is 1.3 times what the target can bear.
    scene = make_scene('b', slots, 1.3)
    learned = find_report_error(scene)
    assert 0.8 < learned < 1.4
    assert learned < find_report_error(scene, make_limit=None)


class Clock:
    """Clock that moves by hand."""

    def __init__(self) -> None:
        self.now: float = 0

    def __call__(self) -> float:
        return self.now


def record_full(
    limit: CapacityLimit, clock: Clock, *, seconds: float, is_cold: bool = False
) -> None:
    """Record requests of a target that is slowed down and has much demand."""
    ends_at = clock.now + seconds
    while clock.now < ends_at:
        time = 0.2 * slow_from_four(limit.limit)
        clock.now += time / limit.limit
        limit.record(
            SlotSample(
                request_class='fetch',
                duration=time,
                in_use_at_start=limit.limit,
                in_use_at_end=limit.limit,
                mean_in_use=limit.limit,
                is_cold=is_cold,
            )
        )


def test_cold_start_lowers_nothing() -> None:
    clock = Clock()
    limit = CapacityLimit(slots=7, clock=clock)
    record_full(limit, clock, seconds=30, is_cold=True)
    assert limit.settled == 7


def test_reset_returns_to_the_named_slots() -> None:
    clock = Clock()
    limit = CapacityLimit(slots=7, clock=clock)
    record_full(limit, clock, seconds=30)
    assert limit.settled == 4
    limit.reset(9)
    assert limit.limit == 9


def test_limit_without_demand_expires() -> None:
    clock = Clock()
    limit = CapacityLimit(slots=7, clock=clock)
    record_full(limit, clock, seconds=30)
    clock.now += 31
    idle = SlotSample(
        request_class='fetch',
        duration=0.2,
        in_use_at_start=1,
        in_use_at_end=1,
        mean_in_use=1,
    )
    limit.record(idle)
    assert limit.settled == 7


def test_slow_calls_are_no_evidence() -> None:
    # Requests wait 0.8 s for a call while all slots are in use.
    sample = SlotSample(
        request_class='fetch',
        duration=1,
        in_use_at_start=7,
        in_use_at_end=7,
        mean_in_use=7,
        mean_calls=5.6,
    )
    assert sample.call_share == pytest.approx(0.8)
