"""Test when requests that can't be answered in time are refused."""

from types import MappingProxyType

import pytest

from goldcrestwharf.admission import (
    Refusal,
    RefusalReason,
    SlotRequest,
    SlotScheduler,
)
from goldcrestwharf.admission._hopeless import HopelessSearch
from goldcrestwharf.admission._service_times import ServiceTimes
from test.admission.driver import Clock

#: Service times by class; those of calls are short.
WORK_S = MappingProxyType({'long': 0.4, 'medium': 0.25, 'call': 0.1})


class Target:
    """Target with one slot, whose classes are known, and a long request."""

    def __init__(self, *, adapts: bool = True) -> None:
        self.adapts = adapts
        self.clock = Clock()
        self.decided: dict[str, Refusal | None] = {}
        self.scheduler = SlotScheduler(
            slots=1, clock=self.clock, adapts=lambda: self.adapts
        )
        for _ in range(40):
            for request_class, work in WORK_S.items():
                self.send(request_class)
                self.clock.now += work
                self.scheduler.release(request_class, work)
        self.send('long', name='running')

    def send(
        self,
        request_class: str,
        *,
        name: str = '',
        left: float = 10,
        objective: float | None = None,
        workspace: str = '',
    ) -> SlotRequest:
        now = self.clock.now
        request = SlotRequest(
            request_class=request_class,
            priority=1,
            objective_at=now + (objective or left),
            deadline_at=now + left,
            workspace=workspace,
            decide=lambda refusal: self.decided.update({name: refusal}),
        )
        refusal = self.scheduler.acquire(request)
        if refusal is not None:
            self.decided[name] = refusal
        return request

    def reason_of(self, name: str) -> RefusalReason | None:
        refusal = self.decided.get(name)
        return None if refusal is None else refusal.reason


def test_request_that_becomes_hopeless_is_refused_at_that_moment() -> None:
    """Load: one slot, and short calls that arrive before a queued request.

    Guards against telling a caller only when its time has passed. The earlier
    rule keeps the request in the queue.
    """
    target, earlier = Target(), Target(adapts=False)
    for one in (target, earlier):
        one.send('long', name='queued', left=0.95)
        one.send('call', left=5)
        assert 'queued' not in one.decided
        one.send('call', left=5)
    refusal = target.decided['queued']
    assert refusal is not None
    assert refusal.reason is RefusalReason.OVERLOADED
    # Two calls and the end of the running request.
    assert refusal.retry_after == pytest.approx(0.6, abs=0.02)
    assert 'queued' not in earlier.decided


def test_longer_request_is_refused_in_place_of_a_shorter_one() -> None:
    """Load: one slot, and calls before a long and a shorter request.

    Guards against refusing a request where a longer and less urgent one of the
    same workspace takes more slot time. Without that order, the shorter one is
    refused, since it is the one that becomes too late.
    """
    target = Target()
    target.send('long', name='long', objective=1.5, left=10)
    target.clock.now += 0.45
    target.send('medium', name='shorter', left=1.2)
    target.send('call')
    assert not target.decided
    target.send('call')
    assert target.reason_of('long') is RefusalReason.OVERLOADED
    assert 'shorter' not in target.decided


def test_request_that_is_hopeless_on_arrival_gets_no_free_slot() -> None:
    """Guards against work that is cancelled at its deadline."""
    target, earlier = Target(), Target(adapts=False)
    for one in (target, earlier):
        one.scheduler.release('long', 0.4)
        one.send('long', name='hopeless', left=0.15)
    assert target.reason_of('hopeless') is not None
    assert target.scheduler.in_use == 0
    assert earlier.scheduler.in_use == 1


@pytest.mark.parametrize(('others', 'is_granted'), [(0, True), (1, False)])
def test_small_chance_gets_a_slot_only_if_nothing_else_can_use_it(
    others: int, is_granted: bool
) -> None:
    """Guards against idle slots, and against slots for what is likely cut."""
    target = Target()
    target.send('long', name='unlikely', left=1.3)
    for _ in range(others):
        target.send('long', name='likely', left=3)
    target.clock.now += 0.95
    target.scheduler.release('long', 0.4)
    assert (target.decided['unlikely'] is None) is is_granted
    assert target.scheduler.in_use == 1


def test_queued_request_expires_early_enough_for_its_refusal() -> None:
    """Guards against a refusal that reaches the entry after the deadline."""
    target, earlier = Target(), Target(adapts=False)
    left = 0.9
    request = target.send('long', left=left)
    kept = earlier.send('long', left=left)
    now = target.clock.now
    assert request.expires_at == pytest.approx(now + left - 0.2)
    assert kept.expires_at == now + left


def test_waiting_requests_stay_when_the_rules_change() -> None:
    """Guards against requests that are lost with a new configuration."""
    target = Target(adapts=False)
    for number in range(3):
        target.send('long', name=f'queued-{number}')
    target.adapts = True
    target.send('call', name='call')
    assert target.scheduler.busy == 5
    for request_class in ('long', 'call', 'long', 'long', 'long'):
        target.scheduler.release(request_class, 0.4)
    assert next(iter(target.decided)) == 'call'
    assert len(target.decided) == 4


def test_arrivals_without_hopeless_requests_need_no_search(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Load: 300 queued requests with time left.

    Guards against a look at the whole queue for each arrival.
    """
    searches: list[object] = []
    monkeypatch.setattr(
        HopelessSearch, 'run', lambda _, waiting: searches.append(waiting)
    )
    target = Target()
    for _ in range(300):
        target.send('call', left=60)
    assert target.scheduler.busy == 301
    assert not searches


def test_requests_that_were_cut_raise_the_likely_time_only() -> None:
    """Guards against a spread that only the quick requests count for."""
    times = ServiceTimes()
    for _ in range(40):
        times.record('long', 0.4)
    likely = times.likely_of('long')
    times.record_cut('long', 0.2)
    assert times.likely_of('long') == likely
    for _ in range(10):
        times.record_cut('long', 1.2)
    assert times.likely_of('long') > 0.8
    assert times.mean_of('long') == pytest.approx(0.4)


def test_turns_of_cancelled_requests_do_not_pile_up() -> None:
    """Load: calls that keep the slot, and longer requests that give up.

    Guards against memory that grows as long as a rank gets no slot.
    """
    target = Target()
    target.send('long', left=60)
    for _ in range(500):
        target.scheduler.cancel(target.send('long', left=60))
        target.scheduler.cancel(target.send('long', left=60, workspace='acme'))
    waiting = target.scheduler._fair_queue._requests
    turns = [rank._turns for rank in waiting.ranks.values()]
    assert max(len(one._entries) for one in turns) < 100
    assert target.scheduler.busy == 2
