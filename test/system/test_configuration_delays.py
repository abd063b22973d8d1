"""Test that the delays on the way of a version stay below its bound."""

import pytest

from goldcrestwharf.discovery import _fetch_schedule as schedule
from goldcrestwharf.platform import _watch as watch
from goldcrestwharf.proxy import _stream_monitor as monitor

#: Answer of a store that takes 60 times as long as usual.
SLOW_ANSWER_S = 0.24


@pytest.mark.parametrize(
    ('fetch_timeout', 'bound'),
    [
        pytest.param(schedule._FETCH_TIMEOUT_S, 2.0, id='high_bandwidth'),
        pytest.param(
            schedule._LOW_BANDWIDTH_FETCH_TIMEOUT_S, 2.5, id='low_bandwidth'
        ),
    ],
)
def test_version_is_in_time_if_the_first_daemon_asked_does_not_answer(
    fetch_timeout: float, bound: float
) -> None:
    """The reader has just gathered changes, and a page holds too few."""
    read = watch._COALESCING_WINDOW_S + 2 * SLOW_ANSWER_S
    assert read + fetch_timeout < bound


def test_version_is_in_time_if_all_readers_of_a_zone_fall_silent() -> None:
    """Daemons with low-bandwidth links depend on them to notice it."""
    noticed = watch._LEAD_WAIT_S + watch._LEAD_ANSWER_TIMEOUT_S
    asked = noticed + monitor._CHECK_INTERVAL_S
    assert asked + SLOW_ANSWER_S < 2.5
