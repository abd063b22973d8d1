import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from goldcrestwharf.limits import (
    Attempt,
    AttemptOutcome,
    Retry,
    RetryBudget,
    RetryPolicy,
    Stop,
    StopReason,
)
from goldcrestwharf.timers import ManualTimers

STEPS = st.lists(
    st.sampled_from(('first', 'first', 'retry', 'retry', 'wait')),
    max_size=300,
)


class Clock(ManualTimers):
    """Manual timers that advance without an event loop."""

    def skip(self, seconds: float) -> None:
        self._now += seconds


@settings(derandomize=True, deadline=None, database=None, max_examples=300)
@given(steps=STEPS, percent=st.sampled_from((0, 10, 50)))
def test_retries_stay_within_budget_in_any_sequence(
    steps: list[str],
    percent: int,
) -> None:
    timers = Clock()
    budget = RetryBudget(percent=percent, timers=timers, window=10, floor=3)
    first_attempts: list[float] = []
    retries: list[float] = []
    for step in steps:
        if step == 'wait':
            timers.skip(1.7)
        elif step == 'first':
            budget.record_first_attempt()
            first_attempts.append(timers.now())
        elif budget.spend():
            retries.append(timers.now())
        since = timers.now() - 9
        recent_first = sum(begun > since - 1 for begun in first_attempts)
        recent_retries = sum(begun > since for begun in retries)
        floor = 3 if percent else 0
        assert recent_retries <= floor + recent_first * percent / 100


def make_attempt(**changes: object) -> Attempt:
    fields = {
        'outcome': AttemptOutcome.NOT_RUN,
        'attempts': 1,
        'max_attempts': 2,
        'is_repeatable': True,
        'remaining': 1,
        **changes,
    }
    return Attempt(**fields)


@pytest.mark.parametrize(
    ('changes', 'expected'),
    [
        ({}, Retry(retries=1)),
        ({'outcome': AttemptOutcome.UNKNOWN}, Retry(retries=1)),
        ({'is_repeatable': False}, Retry(retries=1)),
        (
            {'outcome': AttemptOutcome.UNKNOWN, 'is_repeatable': False},
            Stop(reason=StopReason.NOT_REPEATABLE),
        ),
        ({'is_body_consumed': True}, Stop(reason=StopReason.BODY_SPENT)),
        ({'attempts': 2}, Stop(reason=StopReason.MAX_TRIES)),
        ({'retries_before': 1}, Stop(reason=StopReason.EARLIER_HOP)),
        (
            {'outcome': AttemptOutcome.NOT_SENT, 'retries_before': 1},
            Retry(retries=1),
        ),
        (
            {'outcome': AttemptOutcome.NOT_SENT, 'is_repeatable': False},
            Retry(retries=0),
        ),
        (
            {'outcome': AttemptOutcome.NOT_SENT, 'attempts': 2},
            Stop(reason=StopReason.MAX_TRIES),
        ),
        ({'remaining': 0}, Stop(reason=StopReason.DEADLINE)),
    ],
)
def test_retry_decision_for_failed_attempt(
    changes: dict[str, object],
    expected: Retry | Stop,
) -> None:
    budget = RetryBudget(percent=10, timers=ManualTimers())
    policy = RetryPolicy(budget=budget)
    assert policy.decide(make_attempt(**changes)) == expected


def test_no_retry_beyond_budget() -> None:
    budget = RetryBudget(percent=10, timers=ManualTimers(), floor=1)
    policy = RetryPolicy(budget=budget)
    for _ in range(20):
        budget.record_first_attempt()
    decisions = [policy.decide(make_attempt()) for _ in range(10)]
    assert decisions.count(Retry(retries=1)) == 3
    assert decisions.count(Stop(reason=StopReason.BUDGET)) == 7


def test_attempt_never_sent_consumes_no_budget() -> None:
    budget = RetryBudget(percent=10, timers=ManualTimers(), floor=1)
    policy = RetryPolicy(budget=budget)
    for _ in range(50):
        not_sent = make_attempt(outcome=AttemptOutcome.NOT_SENT)
        assert policy.decide(not_sent) == Retry(retries=0)
    assert budget.may_retry()


def test_refused_retry_consumes_no_budget() -> None:
    budget = RetryBudget(percent=10, timers=ManualTimers(), floor=1)
    policy = RetryPolicy(budget=budget)
    policy.decide(make_attempt(retries_before=1))
    assert budget.may_retry()


def test_request_retried_by_earlier_hop_adds_no_budget() -> None:
    budget = RetryBudget(percent=50, timers=ManualTimers(), floor=0)
    policy = RetryPolicy(budget=budget)
    for _ in range(10):
        policy.record_request(retries_before=1)
    assert not budget.may_retry()
    policy.record_request(retries_before=0)
    policy.record_request(retries_before=0)
    assert budget.may_retry()
