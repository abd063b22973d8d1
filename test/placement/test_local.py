"""Test the preference of the target beside the entry for large bodies."""

import pytest

from goldcrestwharf.placement import Candidate, Demand, find_local_choice
from test.placement.test_placement import make_candidate

NOW = 1


def find_local(local: Candidate, *tried: str) -> str | None:
    others = [make_candidate('other', service_time=0.01)]
    demand = Demand(objective=0.2, tried=frozenset(tried))
    choice = find_local_choice([*others, local], 'here', demand, NOW)
    return choice.candidate.daemon if choice else None


def test_local_target_with_a_free_slot_is_preferred_to_a_faster_one() -> None:
    assert find_local(make_candidate('here', busy=9)) == 'here'


@pytest.mark.parametrize(
    'local',
    [
        make_candidate('here', busy=10),
        make_candidate('here', failure_share=0.5),
        make_candidate('here', is_draining=True),
        make_candidate('here', slow_start_until=NOW + 1),
    ],
)
def test_local_target_that_is_not_ready_is_compared_with_the_others(
    local: Candidate,
) -> None:
    assert find_local(local) is None


def test_local_target_that_was_tried_is_not_chosen_again() -> None:
    assert find_local(make_candidate('here'), 'here') is None
