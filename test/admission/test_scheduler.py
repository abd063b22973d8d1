"""Simulate loads on the slots of one target; count answers in time."""

import heapq
import itertools

import attrs
import pytest

from goldcrestwharf.admission import (
    Refusal,
    RefusalReason,
    Shutdown,
    SlotRequest,
    SlotScheduler,
    TargetHealth,
)
from test.helper import make_rng


class Clock:
    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


@attrs.define(kw_only=True, eq=False)
class Caller:
    """Simulated request and its outcome."""

    request_class: str
    arrived_at: float
    work: float
    objective: float
    deadline: float
    priority: int = 1
    ended_at: float | None = None
    refused_at: float | None = None

    @property
    def is_in_time(self) -> bool:
        if self.ended_at is None:
            return False
        return self.ended_at - self.arrived_at <= self.objective


class Simulation:
    """Run of requests through one scheduler in simulated time."""

    def __init__(self, *, slots: int) -> None:
        self.clock = Clock()
        self.scheduler = SlotScheduler(slots=slots, clock=self.clock)
        self._events: list[tuple[float, int, str, Caller]] = []
        self._order = itertools.count()

    def run(self, callers: list[Caller]) -> None:
        for caller in callers:
            self._plan(caller.arrived_at, 'arrive', caller)
        while self._events:
            now, _, event, caller = heapq.heappop(self._events)
            self.clock.now = now
            if event == 'end':
                caller.ended_at = now
                self.scheduler.release(caller.request_class, caller.work)
            else:
                self._enter(caller)
        assert self.scheduler.in_use == 0

    def _plan(self, at: float, event: str, caller: Caller) -> None:
        heapq.heappush(self._events, (at, next(self._order), event, caller))

    def _enter(self, caller: Caller) -> None:
        now = self.clock.now
        slot_request = SlotRequest(
            request_class=caller.request_class,
            priority=caller.priority,
            objective_at=now + caller.objective,
            deadline_at=now + caller.deadline,
            decide=lambda refusal: self._decide(caller, refusal),
        )
        refusal = self.scheduler.acquire(slot_request)
        if refusal is not None or not slot_request.is_waiting:
            self._decide(caller, refusal)

    def _decide(self, caller: Caller, refusal: Refusal | None) -> None:
        if refusal is None:
            self._plan(self.clock.now + caller.work, 'end', caller)
        else:
            caller.refused_at = self.clock.now


def simulate(callers: list[Caller], slots: int) -> None:
    """Run ``callers`` against a target with ``slots`` slots."""
    Simulation(slots=slots).run(callers)


def make_load(
    rate: float,
    *,
    request_class: str = 'order',
    work: float = 0.1,
    seconds: float = 20,
    **fields: float,
) -> list[Caller]:
    rng = make_rng()
    callers = []
    now = 100.0
    while now < 100 + seconds:
        now += rng.expovariate(rate)
        callers.append(
            Caller(
                request_class=request_class,
                arrived_at=now,
                work=rng.uniform(work * 0.6, work * 1.4),
                objective=fields.get('objective', 0.25),
                deadline=fields.get('deadline', 0.6),
            ),
        )
    return callers


def count_in_time(callers: list[Caller]) -> int:
    return sum(caller.is_in_time for caller in callers)


def make_mix(load: float) -> tuple[list[Caller], list[Caller]]:
    """Return orders, and calls of other services with the lowest priority.

    Together they need ``load`` times the capacity of 8 slots, 15 % of it
    for the calls.
    """
    orders = make_load(
        load * 0.85 * 8 / 0.42,
        work=0.42,
        objective=1.2,
        deadline=8,
    )
    calls = make_load(
        load * 0.15 * 8 / 0.08,
        request_class='call',
        work=0.08,
        objective=0.316,
        deadline=1.05,
    )
    for call in calls:
        call.priority = 3
    return orders, calls


@pytest.mark.parametrize('load', [1.1, 1.4, 2])
def test_calls_of_targets_are_not_starved_by_urgent_orders(
    load: float,
) -> None:
    """A queued call keeps the slot of the target that made it occupied."""
    orders, calls = make_mix(load)
    simulate([*orders, *calls], slots=8)
    assert count_in_time(calls) > 0.9 * len(calls)
    left_for_orders = 20 * 8 / 0.42 - len(calls) * 0.08 / 0.42
    assert count_in_time(orders) > 0.7 * min(left_for_orders, len(orders))


def test_light_load_is_answered_in_time() -> None:
    callers = make_load(40)
    simulate(callers, slots=10)
    assert count_in_time(callers) == len(callers)


@pytest.mark.parametrize('overload', [1.5, 2, 4])
def test_overload_keeps_slots_busy_with_answers_in_time(
    overload: float,
) -> None:
    capacity = 100 * 20
    callers = make_load(100 * overload)
    simulate(callers, slots=10)
    assert count_in_time(callers) > 0.85 * capacity
    late = sum(
        caller.ended_at is not None and not caller.is_in_time
        for caller in callers
    )
    assert late < 0.1 * capacity


def test_most_refusals_under_overload_are_immediate() -> None:
    callers = make_load(300)
    simulate(callers, slots=10)
    refused = [caller for caller in callers if caller.refused_at is not None]
    waits = [
        caller.refused_at - caller.arrived_at
        for caller in refused
        if caller.refused_at is not None
    ]
    immediate = sum(seconds <= 0.25 / 8 for seconds in waits)
    assert immediate > 0.95 * len(refused)


def test_short_calls_succeed_during_overload_of_long_requests() -> None:
    calls = make_load(
        150, request_class='call', work=0.015, objective=0.06, deadline=0.2
    )
    orders = make_load(200)
    simulate(sorted(calls + orders, key=lambda one: one.arrived_at), slots=10)
    served = sum(caller.ended_at is not None for caller in calls)
    assert served > 0.97 * len(calls)
    assert count_in_time(orders) > 0.7 * 20 * (10 - 150 * 0.015) / 0.1


def test_rare_long_requests_do_not_make_all_others_count_as_short() -> None:
    callers = make_load(200)
    rare = make_load(0.2, request_class='rare', work=1, objective=2, deadline=2)
    simulate(sorted(callers + rare, key=lambda one: one.arrived_at), slots=10)
    assert count_in_time(callers) > 0.85 * 20 * 100


def test_short_burst_is_queued_instead_of_refused() -> None:
    burst = [
        Caller(
            request_class='order',
            arrived_at=100.0 + number / 1000,
            work=0.1,
            objective=0.25,
            deadline=1,
        )
        for number in range(35)
    ]
    first = Caller(
        request_class='order',
        arrived_at=99,
        work=0.1,
        objective=0.25,
        deadline=1,
    )
    simulate([first, *burst], slots=10)
    assert all(caller.ended_at is not None for caller in burst)


def make_slot_request(
    decided: list[Refusal | None], **fields: object
) -> SlotRequest:
    defaults: dict[str, object] = {
        'request_class': 'order',
        'priority': 1,
        'objective_at': 100.5,
        'deadline_at': 101,
        'decide': decided.append,
    }
    return SlotRequest(**{**defaults, **fields})  # type: ignore[arg-type]


def test_urgent_request_gets_next_slot() -> None:
    clock = Clock()
    scheduler = SlotScheduler(slots=1, clock=clock)
    normal: list[Refusal | None] = []
    urgent: list[Refusal | None] = []
    scheduler.acquire(make_slot_request([]))
    scheduler.acquire(make_slot_request(normal))
    scheduler.acquire(make_slot_request(urgent, priority=0))
    scheduler.release('order', 0.05)
    assert urgent == [None]
    assert not normal


def test_cancelled_request_gets_no_slot() -> None:
    scheduler = SlotScheduler(slots=1, clock=Clock())
    decided: list[Refusal | None] = []
    scheduler.acquire(make_slot_request([]))
    slot_request = make_slot_request(decided)
    scheduler.acquire(slot_request)
    scheduler.cancel(slot_request)
    scheduler.release('order', 0.05)
    assert not decided
    assert scheduler.busy == 0


def test_request_with_too_little_time_left_is_refused_when_slot_is_free() -> (
    None
):
    clock = Clock()
    scheduler = SlotScheduler(slots=1, clock=clock)
    decided: list[Refusal | None] = []
    scheduler.acquire(make_slot_request([]))
    scheduler.acquire(make_slot_request(decided))
    clock.now = 100.99
    scheduler.release('order', 0.05)
    assert decided == [Refusal(reason=RefusalReason.TOO_LATE)]
    assert scheduler.in_use == 0


def test_refuse_all_refuses_queued_requests() -> None:
    scheduler = SlotScheduler(slots=1, clock=Clock())
    decided: list[Refusal | None] = []
    scheduler.acquire(make_slot_request([]))
    scheduler.acquire(make_slot_request(decided))
    refusal = Refusal(reason=RefusalReason.TARGET_DOWN)
    scheduler.refuse_all(refusal)
    assert decided == [refusal]
    assert scheduler.busy == 1


def test_shutdown_admits_only_requests_that_finish_in_time() -> None:
    clock = Clock()
    shutdown = Shutdown(clock=clock)
    assert shutdown.admits(10, time_left=20)
    shutdown.begin(105)
    assert shutdown.admits(0.2, time_left=0.2)
    clock.now = 104.8
    assert not shutdown.admits(0.2, time_left=0.2)
    assert shutdown.admits(0.05, time_left=0.05)


def test_late_in_a_shutdown_the_longest_time_of_a_request_has_to_fit() -> None:
    """One that takes longer than expected would be cut off at the exit."""
    clock = Clock()
    shutdown = Shutdown(clock=clock)
    shutdown.begin(clock.now + 6)
    assert shutdown.admits(0.2, time_left=8)
    clock.now += 3.1
    assert not shutdown.admits(0.2, time_left=3)
    assert shutdown.admits(0.2, time_left=2.5)


def test_early_in_a_shutdown_the_longest_recent_time_has_to_fit() -> None:
    """The expected time says little about the request that is cut off."""
    clock = Clock()
    shutdown = Shutdown(clock=clock)
    shutdown.begin(clock.now + 6)
    clock.now += 2.8
    assert shutdown.admits(0.2, time_left=5, longest=2.6)
    assert not shutdown.admits(0.2, time_left=5, longest=2.7)
    assert shutdown.admits(0.2, time_left=3, longest=10)


def test_failure_share_decays_without_new_outcomes() -> None:
    health = TargetHealth()
    for _ in range(60):
        health.record_outcome(has_failed=True, now=10)
    assert health.failure_share(10) > 0.9
    assert health.failure_share(18) < 0.3


def test_target_that_is_down_gets_one_request_per_retry_interval() -> None:
    health = TargetHealth()
    was_up = [health.record_unreachable(10), health.record_unreachable(10.1)]
    allowed = [health.allows_attempt(now) for now in (10.2, 10.6, 10.7)]
    health.record_connected()
    assert was_up == [True, False]
    assert allowed == [False, True, False]
    assert health.allows_attempt(10.7)
