import itertools

import pytest

from goldcrestwharf.discovery import (
    PEER_EXPIRY_S,
    DaemonRecord,
    Directory,
    Heartbeat,
    HeartbeatResult,
    InstanceState,
    InstanceTracker,
    LeaveNotice,
    ReportedRecord,
    is_drain_over,
)

READY = InstanceState.READY
DRAINING = InstanceState.DRAINING


def make_heartbeat(**changes: object) -> Heartbeat:
    fields: dict[str, object] = {
        'instance_id': 'i-1',
        'started_ms': 1000,
        'sequence': 1,
        'service': 'kitchen',
        'address': '10.0.0.1:80',
        'slots': 10,
        'state': READY,
    }
    return Heartbeat(**{**fields, **changes})  # type: ignore[arg-type]


def make_tracker() -> InstanceTracker:
    return InstanceTracker(
        address='10.0.0.1:80',
        service='kitchen',
        period=1.5,
    )


def test_heartbeat_with_lower_sequence_is_stale() -> None:
    tracker = make_tracker()
    tracker.record_heartbeat(make_heartbeat(sequence=5, slots=8), 1)
    outcome = tracker.record_heartbeat(make_heartbeat(sequence=4, slots=3), 2)
    assert outcome is HeartbeatResult.STALE
    assert tracker.current is not None
    assert tracker.current.heartbeat.slots == 8


def test_heartbeat_of_an_earlier_start_is_stale() -> None:
    tracker = make_tracker()
    tracker.record_heartbeat(
        make_heartbeat(instance_id='i-2', started_ms=2000), 1
    )
    late = make_heartbeat(instance_id='i-1', sequence=99, state=DRAINING)
    assert tracker.record_heartbeat(late, 2) is HeartbeatResult.STALE
    assert tracker.current is not None
    assert tracker.current.draining_since is None


def test_new_start_with_the_same_id_is_not_draining() -> None:
    tracker = make_tracker()
    tracker.record_heartbeat(make_heartbeat(sequence=9, state=DRAINING), 1)
    tracker.record_heartbeat(make_heartbeat(started_ms=2000, sequence=1), 2)
    assert tracker.current is not None
    assert tracker.current.draining_since is None


def test_draining_is_final_for_one_start() -> None:
    tracker = make_tracker()
    tracker.record_heartbeat(make_heartbeat(), 0)
    tracker.record_heartbeat(make_heartbeat(sequence=2, state=DRAINING), 1)
    tracker.record_heartbeat(make_heartbeat(sequence=3), 2)
    assert tracker.current is not None
    assert tracker.current.draining_since == 1


def test_target_that_drained_before_a_restart_of_the_daemon_gets_nothing() -> (
    None
):
    tracker = make_tracker()
    tracker.record_heartbeat(make_heartbeat(state=DRAINING), 100)
    assert tracker.current is not None
    assert tracker.current.draining_since is not None
    assert is_drain_over(tracker.current.draining_since, 100, 2)


def test_target_that_begins_to_drain_still_gets_requests() -> None:
    tracker = make_tracker()
    tracker.record_heartbeat(make_heartbeat(), 100)
    tracker.record_heartbeat(make_heartbeat(sequence=9, state=DRAINING), 101)
    assert tracker.current is not None
    assert tracker.current.draining_since == 101
    assert not is_drain_over(101, 101, 2)


def test_leave_notice_of_the_current_target_starts_draining() -> None:
    tracker = make_tracker()
    tracker.record_heartbeat(make_heartbeat(), 1)
    assert tracker.record_leave(LeaveNotice(instance_id='i-1'), 2)
    assert not tracker.record_leave(LeaveNotice(instance_id='i-other'), 3)
    assert tracker.current is not None
    assert tracker.current.draining_since == 2


@pytest.mark.parametrize('started_ms', [None, 1000])
def test_leave_notice_before_the_first_heartbeat_applies_later(
    started_ms: int | None,
) -> None:
    tracker = make_tracker()
    notice = LeaveNotice(instance_id='i-1', started_ms=started_ms)
    assert not tracker.record_leave(notice, 1)
    tracker.record_heartbeat(make_heartbeat(sequence=8), 2)
    assert tracker.current is not None
    assert tracker.current.draining_since == 1


def test_leave_notice_of_an_earlier_start_is_ignored_for_a_later_one() -> None:
    tracker = make_tracker()
    notice = LeaveNotice(instance_id='i-1', started_ms=1000)
    tracker.record_leave(notice, 1)
    tracker.record_heartbeat(make_heartbeat(started_ms=2000), 2)
    assert not tracker.record_leave(notice, 3)
    assert tracker.current is not None
    assert tracker.current.draining_since is None


def test_leave_notice_of_a_later_start_applies_to_its_late_heartbeat() -> None:
    """A target that left would be used again when its first heartbeat comes."""
    tracker = make_tracker()
    tracker.record_heartbeat(make_heartbeat(sequence=9), 1)
    notice = LeaveNotice(instance_id='i-1', started_ms=2000)
    assert not tracker.record_leave(notice, 2)
    assert tracker.current is not None
    assert tracker.current.draining_since == 2
    tracker.record_heartbeat(make_heartbeat(started_ms=2000), 4)
    assert tracker.current.heartbeat.started_ms == 2000
    assert tracker.current.draining_since == 2
    tracker.record_heartbeat(make_heartbeat(started_ms=3000), 5)
    assert tracker.current.draining_since is None


@pytest.mark.parametrize('repeated_ms', [1000, 2000])
def test_repeated_or_earlier_notice_does_not_replace_a_kept_one(
    repeated_ms: int,
) -> None:
    """The first acknowledgement of the latest start counts."""
    tracker = make_tracker()
    for started_ms, now in ((2000, 1), (repeated_ms, 3)):
        notice = LeaveNotice(instance_id='i-1', started_ms=started_ms)
        assert not tracker.record_leave(notice, now)
    tracker.record_heartbeat(make_heartbeat(started_ms=2000), 4)
    assert tracker.current is not None
    assert tracker.current.draining_since == 1


@pytest.mark.parametrize(
    'changes',
    [{'address': '10.0.0.2:80'}, {'service': 'other'}],
)
def test_heartbeat_of_another_address_or_service_is_foreign(
    changes: dict[str, object],
) -> None:
    tracker = make_tracker()
    assert (
        tracker.record_heartbeat(make_heartbeat(**changes), 1)
        is HeartbeatResult.FOREIGN
    )
    assert tracker.current is None


def test_target_is_silent_after_three_missed_heartbeats() -> None:
    tracker = make_tracker()
    assert tracker.is_silent(0)
    tracker.record_heartbeat(make_heartbeat(), 1)
    assert not tracker.is_silent(5)
    assert tracker.is_silent(6)


def test_heartbeats_in_any_order_lead_to_the_same_target() -> None:
    heartbeats = [
        make_heartbeat(sequence=1),
        make_heartbeat(sequence=2, slots=7),
        make_heartbeat(instance_id='i-2', started_ms=2000),
        make_heartbeat(instance_id='i-2', started_ms=2000, sequence=2, slots=4),
    ]
    for order in itertools.permutations(heartbeats):
        tracker = make_tracker()
        for heartbeat in order:
            tracker.record_heartbeat(heartbeat, 1)
        assert tracker.current is not None
        assert tracker.current.heartbeat == heartbeats[-1]


def make_record(name: str, address: str = 'a:1') -> DaemonRecord:
    return DaemonRecord(name=name, address=address, zone='z')


def make_report(
    name: str,
    address: str = 'a:1',
    age: float = 0,
) -> ReportedRecord:
    return ReportedRecord(record=make_record(name, address), age=age)


def make_directory() -> Directory:
    return Directory(local=make_record('own'))


def test_local_record_is_never_listed() -> None:
    directory = make_directory()
    assert not directory.record_report(make_report('own', 'b:2'), 1)
    assert directory.records() == ()


def test_report_does_not_change_the_address_of_a_daemon() -> None:
    directory = make_directory()
    directory.record_contact(make_record('peer', 'new:1'), 1)
    assert not directory.record_report(make_report('peer', 'old:1'), 2)
    assert directory.records()[0].address == 'new:1'


def test_contact_changes_the_address_of_a_daemon() -> None:
    directory = make_directory()
    directory.record_report(make_report('peer', 'old:1'), 1)
    assert directory.record_contact(make_record('peer', 'new:1'), 2)
    assert directory.records()[0].address == 'new:1'


def test_expired_daemons_still_count_in_max_known() -> None:
    directory = make_directory()
    directory.record_report(make_report('lost', 'a:9'), 1)
    directory.record_contact(make_record('heard'), PEER_EXPIRY_S)
    lost = directory.expire(PEER_EXPIRY_S + 2)
    assert [record.name for record in lost] == ['lost']
    assert [record.name for record in directory.records()] == ['heard']
    assert directory.max_known == 3


def test_old_report_does_not_restore_an_expired_daemon() -> None:
    directory = Directory(local=make_record('own'))
    directory.record_report(make_report('lost', age=PEER_EXPIRY_S - 5), 1000)
    assert not directory.expire(1000)
    assert directory.expire(1010)
    assert not directory.record_report(make_report('lost', age=605), 1010)
    assert not directory.records()


def test_age_of_a_report_adds_up() -> None:
    directory = Directory(local=make_record('own'))
    directory.record_report(make_report('peer', age=30), 100)
    reports = directory.list_reports(110)
    assert [(one.record.name, one.age) for one in reports] == [('peer', 40)]


def test_directories_of_the_same_daemons_have_the_same_digest() -> None:
    one = Directory(local=make_record('one', 'a:1'))
    two = Directory(local=make_record('two', 'a:2'))
    assert one.digest != two.digest
    one.record_contact(make_record('two', 'a:2'), 1)
    two.record_report(make_report('one', 'a:1'), 1)
    assert one.digest == two.digest
    one.record_contact(make_record('two', 'a:3'), 2)
    assert one.digest != two.digest


def test_contact_takes_over_the_address_of_another_daemon() -> None:
    directory = make_directory()
    directory.record_report(make_report('gone', 'a:1'), 1)
    assert directory.record_contact(make_record('successor', 'a:1'), 2)
    assert not directory.record_report(make_report('gone', 'a:1'), 3)
    assert [record.name for record in directory.records()] == ['successor']


def test_report_does_not_take_over_the_address_of_another_daemon() -> None:
    directory = make_directory()
    directory.record_report(make_report('gone', 'a:1'), 1)
    assert not directory.record_report(make_report('successor', 'a:1'), 2)
    assert directory.record_contact(make_record('successor', 'a:1'), 3)
