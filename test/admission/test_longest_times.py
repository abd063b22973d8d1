"""Check how long the longest time of a request class is remembered."""

from goldcrestwharf.admission import LongestTimes
from test.admission.driver import Clock


def test_longest_time_outlasts_many_short_ones() -> None:
    """A moving average would forget the request that a shutdown cuts off."""
    times = LongestTimes(clock=Clock())
    times.record('menu', 3)
    for _ in range(1000):
        times.record('menu', 0.1)
    assert times.find('menu') == 3
    assert times.find('orders') == 0


def test_longest_time_is_forgotten_after_two_windows() -> None:
    """One slow minute would otherwise cost requests in all later stops."""
    clock = Clock()
    times = LongestTimes(clock=clock)
    times.record('menu', 3)
    clock.now += 61
    times.record('menu', 1)
    assert times.find('menu') == 3
    clock.now += 61
    assert times.find('menu') == 1
    clock.now += 130
    assert times.find('menu') == 0
