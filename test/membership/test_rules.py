"""Test the rules of the membership with plain values."""

import attrs
import pytest

from goldcrestwharf.membership import (
    Member,
    MembershipSettings,
    MemberState,
)
from goldcrestwharf.membership._gossip import Accusation, GossipQueue
from goldcrestwharf.membership._membership import Membership
from goldcrestwharf.membership._witness import Witness
from goldcrestwharf.wire import decode

ZONE = 'recife-a'
CFG = MembershipSettings()
PATIENCE = 4.0
GRACE = 1.0


def make_member(vm: str, **changes: object) -> Member:
    plain = Member(vm=vm, zone=ZONE, address=f'{vm}:1', incarnation=5)
    return attrs.evolve(plain, **changes)


def make_membership(others: int = 7) -> Membership:
    membership = Membership(own=make_member('own'), cfg=CFG)
    for number in range(others):
        membership.absorb(make_member(f'vm-{number}'), 0)
    return membership


def state_of(membership: Membership, vm: str) -> MemberState:
    record = membership.known.table.get(vm)
    assert record is not None
    return record.state


def test_a_suspect_is_warned_before_it_is_dead() -> None:
    membership = make_membership()
    membership.suspect('vm-1', 0)
    assert not membership.expire(PATIENCE - 0.1)
    assert membership.expire(PATIENCE) == ['vm-1']
    assert not membership.expire(PATIENCE + GRACE - 0.1)
    assert state_of(membership, 'vm-1') is MemberState.SUSPECT
    membership.expire(PATIENCE + GRACE)
    assert state_of(membership, 'vm-1') is MemberState.DEAD


def test_a_refutation_in_the_grace_time_saves_the_suspect() -> None:
    membership = make_membership()
    membership.suspect('vm-1', 0)
    membership.expire(PATIENCE)
    membership.absorb(make_member('vm-1', incarnation=6), PATIENCE)
    membership.expire(PATIENCE + GRACE)
    assert state_of(membership, 'vm-1') is MemberState.ALIVE


@pytest.mark.parametrize(
    ('silent', 'is_cut_off'),
    [(1, False), (2, False), (3, True), (7, True)],
)
def test_a_large_silent_share_means_that_the_daemon_is_cut_off(
    silent: int,
    *,
    is_cut_off: bool,
) -> None:
    membership = make_membership()
    for number in range(silent):
        membership.suspect(f'vm-{number}', 0)
    for now in (0, PATIENCE, PATIENCE + GRACE, 60, 120):
        membership.expire(now)
    dead = [
        record.vm
        for record in membership.known.table.records()
        if record.state is MemberState.DEAD
    ]
    assert bool(dead) is not is_cut_off


def test_a_lone_neighbour_may_die() -> None:
    membership = make_membership(others=1)
    membership.suspect('vm-0', 0)
    for now in (PATIENCE, PATIENCE + GRACE):
        membership.expire(now)
    assert state_of(membership, 'vm-0') is MemberState.DEAD


@pytest.mark.parametrize(
    ('incarnation', 'expected'),
    [(4, 5), (5, 6), (9, 10)],
)
def test_an_accusation_is_refuted_above_what_was_heard(
    incarnation: int,
    expected: int,
) -> None:
    membership = make_membership()
    accusation = Accusation(
        vm='own',
        incarnation=incarnation,
        state=MemberState.SUSPECT,
    )
    membership.hear_accusation(accusation)
    assert membership.own.incarnation == expected
    gossip = membership.known.gossip.take(1000, times=9)
    assert decode(gossip[0]).member == membership.own


@pytest.mark.parametrize(
    'changes',
    [
        {'incarnation': -1},
        {'incarnation': 2**62},
        {'revision': 2**63},
        {'zone': 'z' * 256},
        {'address': 'a' * 256},
        {'address': 'no-port'},
        {'address': 'host:port'},
        {'address': 'host:65536'},
        {'address': ''},
        {'zone': ''},
    ],
)
def test_a_record_out_of_bounds_is_not_kept(changes: dict[str, object]) -> None:
    membership = make_membership()
    wrong = make_member('new', **changes)
    assert not membership.absorb(wrong, 0)
    assert membership.known.table.get(wrong.vm) is None


def test_the_table_keeps_its_bound() -> None:
    cfg = MembershipSettings(max_members=10)
    membership = Membership(own=make_member('own'), cfg=cfg)
    for number in range(50):
        membership.absorb(make_member(f'vm-{number}'), 0)
    assert len(membership.known.table) == 10


def test_the_gossip_queue_keeps_its_bound_and_ends() -> None:
    queue = GossipQueue(capacity=10, largest=900)
    for number in range(50):
        queue.put_record(make_member(f'vm-{number}'))
    assert len(queue) == 10
    taken = [queue.take(1000, times=3) for _ in range(30)]
    assert sum(len(changes) for changes in taken) == 30
    assert not len(queue)


def test_a_floor_never_falls() -> None:
    witness = Witness(capacity=2)
    for version in ('1.9', '1.10', '1.2', '', 'x', '1'):
        witness.note('vm-1', version)
    assert witness.floor_for('vm-1') == '1.10'
    witness.note_floor('vm-1', '1.3')
    assert witness.floor_for('vm-1') == '1.10'
    witness.note('vm-2', '1.1')
    witness.note('vm-3', '1.1')
    assert witness.floor_for('vm-3') == ''
