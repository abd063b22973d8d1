"""Check how states of orders are merged."""

import random

import attrs

from goldcrestwharf.rollouts import (
    Member,
    Phase,
    RolloutState,
    RolloutTable,
    elect_controller,
)
from test.helper import make_rng
from test.rollouts.helper import SERVICE, Clock, make_state


def find_phase(table: RolloutTable) -> Phase:
    state = table.find(SERVICE)
    assert state is not None
    return state.phase


def settle(state: RolloutState, phase: Phase) -> RolloutState:
    return attrs.evolve(state, phase=phase, is_written=True, written_epoch=1)


def test_states_merge_to_the_same_in_any_order() -> None:
    """Guards against daemons that disagree for good."""
    rng = make_rng()
    clock = Clock()
    trial = make_state(clock)
    states = [
        trial,
        attrs.evolve(trial, phase=Phase.MOVING, rotation=3),
        attrs.evolve(trial, phase=Phase.ROLLED_BACK),
        settle(trial, Phase.COMPLETED),
        make_state(clock, offset=5),
    ]
    merged = set()
    for _ in range(40):
        table = RolloutTable(clock=clock)
        for state in random.Random(rng.random()).sample(states, len(states)):
            table.offer(state)
        merged.add(table.find(SERVICE))
    assert len(merged) == 1
    assert merged.pop().phase is Phase.COMPLETED


def test_stored_status_takes_precedence_over_a_later_phase() -> None:
    """Guards against a paused controller that goes on with an old belief."""
    table = RolloutTable(clock=Clock())
    trial = make_state(Clock())
    table.offer(settle(trial, Phase.ROLLED_BACK))
    assert not table.offer(attrs.evolve(trial, phase=Phase.MOVING))
    assert find_phase(table) is Phase.ROLLED_BACK


def test_later_order_for_the_same_version_begins_again() -> None:
    table = RolloutTable(clock=Clock())
    table.offer(settle(make_state(Clock()), Phase.ROLLED_BACK))
    assert table.offer(make_state(Clock(), offset=9))
    assert find_phase(table) is Phase.TRIAL


def test_only_the_controller_corrects_the_start_of_an_order() -> None:
    """Guards against one machine whose clock is ahead."""
    clock = Clock()
    table = RolloutTable(clock=clock)
    state = make_state(clock)
    table.offer(state)
    earlier = attrs.evolve(state, began_at=state.began_at - 5)
    table.offer(earlier)
    assert table.find(SERVICE) == state
    table.renew_lease(earlier)
    assert table.find(SERVICE) == earlier


def test_order_keeps_its_phase_when_it_is_read_from_a_restored_store() -> None:
    table = RolloutTable(clock=Clock())
    table.offer(make_state(Clock(), Phase.MOVING))
    table.offer(make_state(Clock(), epoch=2))
    assert find_phase(table) is Phase.MOVING


def test_restored_store_without_the_newest_order_brings_back_no_other() -> None:
    """Guards against the former order, which the restored store still has."""
    former = make_state(Clock(), Phase.ROLLED_BACK)
    newest = make_state(Clock(), offset=9)
    table = RolloutTable(clock=Clock())
    table.offer(former)
    table.offer(newest)
    assert table.offer(make_state(Clock(), epoch=2))
    state = table.find(SERVICE)
    assert state is not None
    assert state.order.offset == 9
    # A daemon that knows only what the restored store has takes it over.
    fresh = RolloutTable(clock=Clock())
    fresh.offer(make_state(Clock(), epoch=2))
    assert fresh.offer(state)


def test_controller_has_contact_and_moves_only_when_it_is_lost() -> None:
    """Guards against elections that move with each daemon that is lost."""
    members = [
        Member(name=f'd-{one}', has_contact=one % 2 == 0) for one in range(20)
    ]
    leader = elect_controller(SERVICE, members)
    others = [one for one in members if one.name != leader]
    assert Member(name=leader, has_contact=True) in members
    assert elect_controller(SERVICE, list(reversed(members))) == leader
    assert elect_controller(SERVICE, others) != leader
    for lost in others:
        rest = [one for one in members if one is not lost]
        assert elect_controller(SERVICE, rest) == leader
