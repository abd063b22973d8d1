"""Test how long a leaving target may still get requests."""

from goldcrestwharf.discovery import Departures

DRAIN_TIMEOUT_S = 2
LEAVING = ('i-1', 1000)


class Clock:
    def __init__(self) -> None:
        self.now: float = 100

    def __call__(self) -> float:
        return self.now


def make_departures(clock: Clock) -> Departures:
    departures = Departures(drain_timeout=DRAIN_TIMEOUT_S, clock=clock)
    departures.record(LEAVING)
    return departures


def test_leaving_target_gets_nothing_well_before_the_drain_timeout() -> None:
    clock = Clock()
    departures = make_departures(clock)
    assert LEAVING in departures
    assert not departures.is_over(LEAVING)
    clock.now += DRAIN_TIMEOUT_S * 0.75
    assert departures.is_over(LEAVING)


def test_repeated_notices_do_not_extend_the_time() -> None:
    clock = Clock()
    departures = make_departures(clock)
    for _ in range(20):
        clock.now += 0.1
        departures.record(LEAVING)
    assert departures.is_over(LEAVING)


def test_later_start_under_the_same_id_is_not_leaving() -> None:
    clock = Clock()
    departures = make_departures(clock)
    clock.now += 60
    assert ('i-1', 2000) not in departures
    assert not departures.is_over(('i-1', 2000))


def test_oldest_departures_are_evicted() -> None:
    departures = make_departures(Clock())
    for number in range(10_000):
        departures.record(('i-2', number))
    assert len(departures) < 5000
    assert LEAVING not in departures
