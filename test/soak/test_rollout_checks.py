"""Test the checks of a roll-out's requests and states."""

import json
import math
import random

import attrs
import pytest

from test.soak.rollouts import (
    COMPLETED,
    DURATION_S,
    NEW_VERSION,
    OLD_VERSION,
    RECORD_KEY,
    ROLLED_BACK,
    RUNNING,
    Rollout,
)


@attrs.define
class ManualClock:
    now: float = 100

    def __call__(self) -> float:
        return self.now


def make_rollout(bad_after: float = 0) -> tuple[Rollout, ManualClock]:
    clock = ManualClock()
    rollout = Rollout(rng=random.Random(1), bad_after=bad_after, clock=clock)
    rollout.order()
    return rollout, clock


def show(rollout: Rollout, *states: str) -> None:
    key = RECORD_KEY.encode()
    rollout.read_states(
        b'%c%b%b' % (len(key), key, json.dumps({'state': state}).encode())
        for state in states
    )


def run(rollout: Rollout, version: str, count: int, first: int = 0) -> None:
    for number in range(first, first + count):
        rollout.record_run(version, f'r-{number}', rollout.clock())


def answer_badly(rollout: Rollout, count: int) -> None:
    while count:
        count -= rollout.fails(NEW_VERSION)


@pytest.mark.parametrize(
    'states',
    [
        (),
        (RUNNING,),
        (RUNNING, COMPLETED),
        (RUNNING, ROLLED_BACK),
        (RUNNING, ROLLED_BACK, ROLLED_BACK),
    ],
)
def test_running_and_one_final_state_are_no_violation(
    states: tuple[str, ...],
) -> None:
    rollout, _ = make_rollout(math.inf)
    show(rollout, *states)
    assert not rollout.list_violations()


@pytest.mark.parametrize(
    'states',
    [
        (RUNNING, COMPLETED, ROLLED_BACK),
        (RUNNING, ROLLED_BACK, COMPLETED),
        (RUNNING, ROLLED_BACK, RUNNING),
        (RUNNING, 'moving'),
        (COMPLETED, RUNNING),
        (COMPLETED, ROLLED_BACK),
    ],
)
def test_other_states_are_a_violation(states: tuple[str, ...]) -> None:
    rollout, _ = make_rollout(math.inf)
    show(rollout, *states)
    assert rollout.list_violations()


def test_final_state_without_running_is_a_timing_violation() -> None:
    rollout, _ = make_rollout(math.inf)
    show(rollout, COMPLETED)
    assert not rollout.list_violations()
    assert rollout.list_timing_violations()


def test_completing_a_version_that_fails_at_once_is_a_violation() -> None:
    rollout, _ = make_rollout()
    show(rollout, RUNNING, COMPLETED)
    assert rollout.list_violations()


def test_completing_a_version_that_fails_late_is_a_timing_violation() -> None:
    rollout, _ = make_rollout(3)
    show(rollout, RUNNING, COMPLETED)
    assert not rollout.list_violations()
    assert rollout.list_timing_violations()


def test_order_without_a_final_state_is_a_timing_violation() -> None:
    rollout, _ = make_rollout()
    show(rollout, RUNNING)
    assert rollout.list_timing_violations()


@pytest.mark.parametrize(('count', 'is_violation'), [(72, False), (73, True)])
def test_share_of_a_bad_version_is_bounded(
    count: int,
    is_violation: bool,
) -> None:
    rollout, _ = make_rollout()
    run(rollout, NEW_VERSION, count)
    # Attempts at both versions count as one request of the service.
    run(rollout, OLD_VERSION, 225)
    assert bool(rollout.list_violations()) == is_violation


def test_requests_after_the_deadline_do_not_raise_the_allowed_share() -> None:
    rollout, clock = make_rollout()
    run(rollout, NEW_VERSION, 56)
    clock.now += DURATION_S + 0.1
    run(rollout, OLD_VERSION, 1000, first=56)
    assert rollout.list_violations()


def test_good_version_may_get_all_requests() -> None:
    rollout, _ = make_rollout(math.inf)
    run(rollout, NEW_VERSION, 500)
    show(rollout, RUNNING, COMPLETED)
    assert not rollout.list_violations()
    assert not rollout.list_timing_violations()


@pytest.mark.parametrize(
    ('answers', 'delay', 'is_violation'),
    [(50, 7.6, True), (50, 7.4, False), (49, 7.6, False)],
)
def test_request_sent_long_after_the_fiftieth_bad_answer_is_a_violation(
    answers: int,
    delay: float,
    is_violation: bool,
) -> None:
    rollout, clock = make_rollout()
    answer_badly(rollout, answers)
    clock.now += delay
    run(rollout, NEW_VERSION, 1)
    show(rollout, RUNNING, ROLLED_BACK)
    assert bool(rollout.list_timing_violations()) == is_violation


def test_version_fails_only_from_its_time_on() -> None:
    rollout, clock = make_rollout(3)
    assert not any(rollout.fails(NEW_VERSION) for _ in range(100))
    clock.now += 3
    failures = sum(rollout.fails(NEW_VERSION) for _ in range(1000))
    assert 400 < failures < 600
    assert not any(rollout.fails(OLD_VERSION) for _ in range(100))
