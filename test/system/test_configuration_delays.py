"""Test that the delays on the way of a version add up to less than its bound."""

import pytest

from goldcrestwharf.discovery import _fetch_schedule as schedule
from goldcrestwharf.platform import _watch as watch

#: Seconds in which a version has to be in force, by the bandwidth of a link.
APPLY_S = {'high': 2.0, 'low': 2.5}

#: Answer of a store that takes 60 times as long as usual.
SLOW_ANSWER_S = 0.24

FETCH_TIMEOUT_S = {
    'high': schedule._FETCH_TIMEOUT_S,
    'low': schedule._LOW_BANDWIDTH_FETCH_TIMEOUT_S,
}


@pytest.mark.parametrize('bandwidth', ['high', 'low'])
def test_version_is_in_time_if_the_first_daemon_asked_does_not_answer(
    bandwidth: str,
) -> None:
    """The reader has just gathered changes, and a page holds too few."""
    read = watch._COALESCING_WINDOW_S + 2 * SLOW_ANSWER_S
    assert read + FETCH_TIMEOUT_S[bandwidth] < APPLY_S[bandwidth]
