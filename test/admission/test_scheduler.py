"""Play loads against the slots of one target and see who is served."""

import heapq
import itertools

import attrs
import pytest

from goldcrestwharf.admission import (
    Leaving,
    Refusal,
    RefusalReason,
    SlotScheduler,
    TargetHealth,
    Ticket,
)
from test.helper import make_rng


class Clock:
    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


@attrs.define(kw_only=True, eq=False)
class Caller:
    """Hold one request of a played load and what became of it."""

    kind: str
    came_at: float
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
        return self.ended_at - self.came_at <= self.objective


class Play:
    """Run callers against one scheduler in simulated time."""

    def __init__(self, *, slots: int) -> None:
        self.clock = Clock()
        self.scheduler = SlotScheduler(slots=slots, clock=self.clock)
        self._events: list[tuple[float, int, str, Caller]] = []
        self._order = itertools.count()

    def run(self, callers: list[Caller]) -> None:
        for caller in callers:
            self._plan(caller.came_at, 'come', caller)
        while self._events:
            now, _, event, caller = heapq.heappop(self._events)
            self.clock.now = now
            if event == 'end':
                caller.ended_at = now
                self.scheduler.leave(caller.kind, caller.work)
            else:
                self._enter(caller)
        assert self.scheduler.in_use == 0

    def _plan(self, at: float, event: str, caller: Caller) -> None:
        heapq.heappush(self._events, (at, next(self._order), event, caller))

    def _enter(self, caller: Caller) -> None:
        now = self.clock.now
        ticket = Ticket(
            kind=caller.kind,
            priority=caller.priority,
            objective_at=now + caller.objective,
            deadline_at=now + caller.deadline,
            decide=lambda refusal: self._decide(caller, refusal),
        )
        refusal = self.scheduler.enter(ticket)
        if refusal is not None or not ticket.is_waiting:
            self._decide(caller, refusal)

    def _decide(self, caller: Caller, refusal: Refusal | None) -> None:
        if refusal is None:
            self._plan(self.clock.now + caller.work, 'end', caller)
        else:
            caller.refused_at = self.clock.now


def play(callers: list[Caller], slots: int) -> None:
    """Play callers against a target with some slots."""
    Play(slots=slots).run(callers)


def make_load(
    rate: float,
    *,
    kind: str = 'order',
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
                kind=kind,
                came_at=now,
                work=rng.uniform(work * 0.6, work * 1.4),
                objective=fields.get('objective', 0.25),
                deadline=fields.get('deadline', 0.6),
            ),
        )
    return callers


def count_in_time(callers: list[Caller]) -> int:
    return sum(caller.is_in_time for caller in callers)


def make_mix(load: float) -> tuple[list[Caller], list[Caller]]:
    """Return orders, and the calls of other services, which rank last.

    Together they take ``load`` times what 8 slots can run, a seventh of it
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
        kind='call',
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
    """A call that waits holds a slot of the target that made it."""
    orders, calls = make_mix(load)
    play([*orders, *calls], slots=8)
    assert count_in_time(calls) > 0.9 * len(calls)
    left_for_orders = 20 * 8 / 0.42 - len(calls) * 0.08 / 0.42
    assert count_in_time(orders) > 0.7 * min(left_for_orders, len(orders))


def test_light_load_is_all_served_in_time() -> None:
    callers = make_load(40)
    play(callers, slots=10)
    assert count_in_time(callers) == len(callers)


@pytest.mark.parametrize('overload', [1.5, 2, 4])
def test_lasting_overload_keeps_the_slots_busy_with_answers_in_time(
    overload: float,
) -> None:
    capacity = 100 * 20
    callers = make_load(100 * overload)
    play(callers, slots=10)
    assert count_in_time(callers) > 0.85 * capacity
    late = sum(
        caller.ended_at is not None and not caller.is_in_time
        for caller in callers
    )
    assert late < 0.1 * capacity


def test_refused_requests_are_refused_at_once() -> None:
    callers = make_load(300)
    play(callers, slots=10)
    refused = [caller for caller in callers if caller.refused_at is not None]
    held = [
        caller.refused_at - caller.came_at
        for caller in refused
        if caller.refused_at is not None
    ]
    early = sum(seconds <= 0.25 / 8 for seconds in held)
    assert early > 0.95 * len(refused)


def test_short_calls_succeed_beside_an_overload_of_long_requests() -> None:
    calls = make_load(
        150, kind='call', work=0.015, objective=0.06, deadline=0.2
    )
    orders = make_load(200)
    play(sorted(calls + orders, key=lambda one: one.came_at), slots=10)
    served = sum(caller.ended_at is not None for caller in calls)
    assert served > 0.97 * len(calls)
    assert count_in_time(orders) > 0.7 * 20 * (10 - 150 * 0.015) / 0.1


def test_rare_long_request_does_not_make_all_others_short() -> None:
    callers = make_load(200)
    rare = make_load(0.2, kind='rare', work=1, objective=2, deadline=2)
    play(sorted(callers + rare, key=lambda one: one.came_at), slots=10)
    assert count_in_time(callers) > 0.85 * 20 * 100


def test_burst_is_waited_out_rather_than_refused() -> None:
    burst = [
        Caller(
            kind='order',
            came_at=100.0 + number / 1000,
            work=0.1,
            objective=0.25,
            deadline=1,
        )
        for number in range(35)
    ]
    first = Caller(
        kind='order',
        came_at=99,
        work=0.1,
        objective=0.25,
        deadline=1,
    )
    play([first, *burst], slots=10)
    assert all(caller.ended_at is not None for caller in burst)


def make_ticket(decided: list[Refusal | None], **fields: object) -> Ticket:
    defaults: dict[str, object] = {
        'kind': 'order',
        'priority': 1,
        'objective_at': 100.5,
        'deadline_at': 101,
        'decide': decided.append,
    }
    return Ticket(**{**defaults, **fields})  # type: ignore[arg-type]


def test_urgent_request_goes_first() -> None:
    clock = Clock()
    scheduler = SlotScheduler(slots=1, clock=clock)
    usual: list[Refusal | None] = []
    urgent: list[Refusal | None] = []
    scheduler.enter(make_ticket([]))
    scheduler.enter(make_ticket(usual))
    scheduler.enter(make_ticket(urgent, priority=0))
    scheduler.leave('order', 0.05)
    assert urgent == [None]
    assert not usual


def test_withdrawn_request_takes_no_slot() -> None:
    scheduler = SlotScheduler(slots=1, clock=Clock())
    decided: list[Refusal | None] = []
    scheduler.enter(make_ticket([]))
    ticket = make_ticket(decided)
    scheduler.enter(ticket)
    scheduler.withdraw(ticket)
    scheduler.leave('order', 0.05)
    assert not decided
    assert scheduler.busy == 0


def test_request_whose_time_is_over_is_refused_instead_of_run() -> None:
    clock = Clock()
    scheduler = SlotScheduler(slots=1, clock=clock)
    decided: list[Refusal | None] = []
    scheduler.enter(make_ticket([]))
    scheduler.enter(make_ticket(decided))
    clock.now = 100.99
    scheduler.leave('order', 0.05)
    assert decided == [Refusal(reason=RefusalReason.TOO_LATE)]
    assert scheduler.in_use == 0


def test_target_that_went_down_refuses_all_that_wait() -> None:
    scheduler = SlotScheduler(slots=1, clock=Clock())
    decided: list[Refusal | None] = []
    scheduler.enter(make_ticket([]))
    scheduler.enter(make_ticket(decided))
    refusal = Refusal(reason=RefusalReason.TARGET_DOWN)
    scheduler.refuse_all(refusal)
    assert decided == [refusal]
    assert scheduler.busy == 1


def test_leaving_daemon_takes_only_what_ends_in_time() -> None:
    clock = Clock()
    leaving = Leaving(clock=clock)
    assert leaving.takes(10)
    leaving.begin(105)
    assert leaving.takes(0.2)
    clock.now = 104.8
    assert not leaving.takes(0.2)
    assert leaving.takes(0.05)


def test_failures_fade_while_nothing_is_learnt() -> None:
    health = TargetHealth()
    for _ in range(60):
        health.note_outcome(has_failed=True, now=10)
    assert health.failure_share(10) > 0.9
    assert health.failure_share(18) < 0.3


def test_target_that_is_down_gets_one_request_at_a_time() -> None:
    health = TargetHealth()
    news = [health.note_unreachable(10), health.note_unreachable(10.1)]
    tries = [health.may_try(now) for now in (10.2, 10.6, 10.7)]
    health.note_connected()
    assert news == [True, False]
    assert tries == [False, True, False]
    assert health.may_try(10.7)
