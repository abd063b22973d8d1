"""Test that a target gets no more requests than its limit allows."""

import pytest

from goldcrestwharf.admission import (
    RateLimit,
    Refusal,
    RefusalReason,
    SlotRequest,
    SlotScheduler,
)

#: What the platform allows in any window, in seconds and requests.
WINDOW_S = 4
WINDOW_FACTOR = 1.5
WINDOW_SLACK = 5

STEP_S = 0.01

LIMITS = (0, 0.4, 1, 4.5, 33.4, 54.8, 400)


class Clock:
    def __init__(self) -> None:
        self.now: float = 100

    def __call__(self) -> float:
        return self.now


def find_busiest_window(sent_at: list[float]) -> int:
    return max(
        sum(start <= at < start + WINDOW_S for at in sent_at)
        for start in sent_at or [0]
    )


def send_all(rate: RateLimit, clock: Clock, seconds: float) -> list[float]:
    """Send as soon as the limit allows; return the times."""
    sent_at = []
    ends_at = clock.now + seconds
    while clock.now < ends_at:
        while rate.try_take():
            sent_at.append(clock.now)
        clock.now += STEP_S
    return sent_at


@pytest.mark.parametrize('limit', LIMITS)
def test_no_window_has_more_requests_than_the_limit_allows(
    limit: float,
) -> None:
    clock = Clock()
    rate = RateLimit(clock=clock)
    rate.apply(limit)
    sent_at = send_all(rate, clock, 12)
    allowed = limit * WINDOW_FACTOR * WINDOW_S + WINDOW_SLACK
    assert 0 < find_busiest_window(sent_at) <= allowed
    assert len(sent_at) >= limit * 11


@pytest.mark.parametrize('limit', LIMITS)
def test_pause_does_not_save_up_requests(limit: float) -> None:
    """A frozen VM finds all that waited in the meantime."""
    clock = Clock()
    rate = RateLimit(clock=clock)
    rate.apply(limit)
    sent_at = send_all(rate, clock, 4)
    clock.now += 60
    sent_at += send_all(rate, clock, 4)
    allowed = limit * WINDOW_FACTOR * WINDOW_S + WINDOW_SLACK
    assert find_busiest_window(sent_at) <= allowed


def test_changes_of_the_limit_do_not_add_requests() -> None:
    clock = Clock()
    rate = RateLimit(clock=clock)
    sent_at = []
    for limit in (40, 41, 40, 39, 40) * 40:
        rate.apply(limit)
        sent_at += send_all(rate, clock, 0.05)
    assert find_busiest_window(sent_at) <= 40 * WINDOW_FACTOR * WINDOW_S


def test_end_of_the_limit_lets_all_requests_pass() -> None:
    rate = RateLimit(clock=Clock())
    rate.apply(1)
    assert not rate.try_take()
    rate.apply(None)
    assert all(rate.try_take() for _ in range(100))


class Target:
    """Scheduler of a target with many slots, in simulated time."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.wakes: list[float] = []
        self.scheduler = SlotScheduler(
            slots=1000, clock=self.clock, wake=self._wake
        )
        self.granted_at: list[float] = []
        self.refused: list[Refusal] = []

    def send(self, deadline: float) -> None:
        now = self.clock.now
        request = SlotRequest(
            request_class='menu',
            priority=1,
            objective_at=now + deadline,
            deadline_at=now + deadline,
            decide=self._decide,
        )
        refusal = self.scheduler.acquire(request)
        if refusal is not None:
            self.refused.append(refusal)
        elif not request.is_waiting and self.granted_at[-1:] != [now]:
            self.granted_at.append(now)

    def run(self, seconds: float) -> None:
        ends_at = self.clock.now + seconds
        while self.wakes and min(self.wakes) <= ends_at:
            self.clock.now = min(self.wakes)
            self.wakes.clear()
            self.scheduler.grant()
        self.clock.now = ends_at

    def _wake(self, delay: float) -> None:
        self.wakes.append(self.clock.now + delay)

    def _decide(self, refusal: Refusal | None) -> None:
        if refusal is None:
            self.granted_at.append(self.clock.now)
        else:
            self.refused.append(refusal)


def test_requests_that_the_limit_serves_in_time_wait_for_it() -> None:
    target = Target()
    target.scheduler.rate.apply(10)
    for _ in range(8):
        target.send(deadline=2)
    target.run(2)
    assert len(target.granted_at) == 8
    assert target.granted_at[-1] == pytest.approx(100.8, abs=0.01)


def test_requests_that_the_limit_cannot_serve_in_time_are_refused_at_once() -> (
    None
):
    target = Target()
    target.scheduler.rate.apply(10)
    for _ in range(40):
        target.send(deadline=1)
    assert {one.reason for one in target.refused} == {RefusalReason.OVERLOADED}
    assert all(0 < one.retry_after <= 2 for one in target.refused)
    queued = 40 - len(target.refused)
    target.run(2)
    assert len(target.granted_at) == queued


@pytest.mark.parametrize('daemons', [14, 79, 194, 23_000])
def test_limit_holds_for_any_number_of_daemons(daemons: int) -> None:
    """Each daemon sends one request, within two seconds."""
    target = Target()
    target.scheduler.rate.apply(30)
    for _ in range(daemons):
        target.send(deadline=0.5)
        target.run(2 / daemons)
    target.run(3)
    allowed = 30 * WINDOW_FACTOR * WINDOW_S + WINDOW_SLACK
    assert len(target.granted_at) <= allowed
