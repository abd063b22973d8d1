"""Test the rules of the membership without tasks or a network."""

import attrs
import pytest

from goldcrestwharf.membership import (
    Member,
    MembershipSettings,
    MemberState,
)
from goldcrestwharf.membership._gossip import GossipQueue, SuspicionNotice
from goldcrestwharf.membership._membership import Membership
from goldcrestwharf.membership._witness import Witness
from goldcrestwharf.wire import decode

ZONE = 'recife-a'
CFG = MembershipSettings()
SUSPICION_TIMEOUT_S = 4.0
GRACE_S = 1.0


def make_member(vm: str, **changes: object) -> Member:
    plain = Member(vm=vm, zone=ZONE, address=f'{vm}:1', incarnation=5)
    return attrs.evolve(plain, **changes)


def make_membership(others: int = 7) -> Membership:
    membership = Membership(local=make_member('own'), cfg=CFG)
    for number in range(others):
        membership.merge_record(make_member(f'vm-{number}'), 0)
    return membership


def state_of(membership: Membership, vm: str) -> MemberState:
    record = membership.state.table.get(vm)
    assert record is not None
    return record.state


def test_suspect_is_pinged_once_more_before_it_is_dead() -> None:
    membership = make_membership()
    membership.suspect('vm-1', 0)
    assert not membership.expire(SUSPICION_TIMEOUT_S - 0.1)
    assert membership.expire(SUSPICION_TIMEOUT_S) == ['vm-1']
    assert not membership.expire(SUSPICION_TIMEOUT_S + GRACE_S - 0.1)
    assert state_of(membership, 'vm-1') is MemberState.SUSPECT
    membership.expire(SUSPICION_TIMEOUT_S + GRACE_S)
    assert state_of(membership, 'vm-1') is MemberState.DEAD


def test_refutation_in_the_grace_time_makes_the_suspect_alive() -> None:
    membership = make_membership()
    membership.suspect('vm-1', 0)
    membership.expire(SUSPICION_TIMEOUT_S)
    membership.merge_record(
        make_member('vm-1', incarnation=6), SUSPICION_TIMEOUT_S
    )
    membership.expire(SUSPICION_TIMEOUT_S + GRACE_S)
    assert state_of(membership, 'vm-1') is MemberState.ALIVE


@pytest.mark.parametrize(
    ('silent', 'is_cut_off'),
    [(1, False), (2, False), (3, True), (7, True)],
)
def test_many_silent_members_mean_that_the_daemon_is_cut_off(
    silent: int,
    *,
    is_cut_off: bool,
) -> None:
    membership = make_membership()
    for number in range(silent):
        membership.suspect(f'vm-{number}', 0)
    for now in (0, SUSPICION_TIMEOUT_S, SUSPICION_TIMEOUT_S + GRACE_S, 60, 120):
        membership.expire(now)
    dead = [
        record.vm
        for record in membership.state.table.records()
        if record.state is MemberState.DEAD
    ]
    assert bool(dead) is not is_cut_off


def test_only_other_member_can_be_declared_dead() -> None:
    membership = make_membership(others=1)
    membership.suspect('vm-0', 0)
    for now in (SUSPICION_TIMEOUT_S, SUSPICION_TIMEOUT_S + GRACE_S):
        membership.expire(now)
    assert state_of(membership, 'vm-0') is MemberState.DEAD


@pytest.mark.parametrize(
    ('incarnation', 'expected'),
    [(4, 5), (5, 6), (9, 10)],
)
def test_suspicion_is_refuted_with_a_higher_incarnation(
    incarnation: int,
    expected: int,
) -> None:
    membership = make_membership()
    notice = SuspicionNotice(
        vm='own',
        incarnation=incarnation,
        state=MemberState.SUSPECT,
    )
    membership.refute_suspicion(notice)
    assert membership.local.incarnation == expected
    gossip = membership.state.gossip.take(1000, max_sends=9)
    assert decode(gossip[0]).member == membership.local


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
def test_invalid_record_is_not_stored(changes: dict[str, object]) -> None:
    membership = make_membership()
    wrong = make_member('new', **changes)
    assert not membership.merge_record(wrong, 0)
    assert membership.state.table.get(wrong.vm) is None


def test_table_stores_at_most_max_members() -> None:
    cfg = MembershipSettings(max_members=10)
    membership = Membership(local=make_member('own'), cfg=cfg)
    for number in range(50):
        membership.merge_record(make_member(f'vm-{number}'), 0)
    assert len(membership.state.table) == 10


def test_gossip_queue_is_bounded_and_drains() -> None:
    queue = GossipQueue(capacity=10, max_change_bytes=900)
    for number in range(50):
        queue.put_record(make_member(f'vm-{number}'))
    assert len(queue) == 10
    taken = [queue.take(1000, max_sends=3) for _ in range(30)]
    assert sum(len(changes) for changes in taken) == 30
    assert not len(queue)


def test_version_floor_never_decreases() -> None:
    witness = Witness(capacity=2)
    for version in ('1.9', '1.10', '1.2', '', 'x', '1'):
        witness.record_running('vm-1', version)
    assert witness.floor_for('vm-1') == '1.10'
    witness.record_floor('vm-1', '1.3')
    assert witness.floor_for('vm-1') == '1.10'
    witness.record_running('vm-2', '1.1')
    witness.record_running('vm-3', '1.1')
    assert witness.floor_for('vm-3') == ''
