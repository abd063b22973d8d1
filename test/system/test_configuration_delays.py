"""Test that the delays on the way of a version stay below its bound."""

import pytest

from goldcrestwharf.discovery import _fetch_schedule as schedule
from goldcrestwharf.platform import _watch as watch

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
