"""Test which daemon is queried for its directory, and when."""

from goldcrestwharf.discovery import (
    DaemonRecord,
    Directory,
    DirectoryComparison,
    ReportedRecord,
)
from test.helper import make_rng

MAX_DELAY_S = 1.0


def make_record(name: str, zone: str = 'here') -> DaemonRecord:
    return DaemonRecord(name=name, address=f'{name}:1', zone=zone)


def make_directory(*known: DaemonRecord) -> Directory:
    directory = Directory(local=make_record('own'))
    for record in known:
        directory.record_contact(record, 0)
    return directory


def make_comparison(directory: Directory) -> DirectoryComparison:
    return DirectoryComparison(directory=directory, rng=make_rng())


def test_daemon_with_the_same_digest_is_not_queried() -> None:
    directory = make_directory(make_record('peer'))
    comparison = make_comparison(directory)
    comparison.record_digest('peer', directory.digest, 0)
    assert comparison.take_daemon_to_query(60) is None


def test_daemon_with_another_digest_is_queried_once_after_a_delay() -> None:
    comparison = make_comparison(make_directory(make_record('peer')))
    comparison.record_digest('peer', b'another', 0)
    assert comparison.take_daemon_to_query(0) is None
    assert comparison.take_daemon_to_query(MAX_DELAY_S) == 'peer'
    assert comparison.take_daemon_to_query(60) is None


def test_difference_resolved_before_the_query_is_ignored() -> None:
    directory = make_directory(make_record('peer'))
    comparison = make_comparison(directory)
    whole = make_directory(make_record('peer'), make_record('late'))
    comparison.record_digest('peer', whole.digest, 0)
    directory.record_report(ReportedRecord(record=make_record('late')), 0.1)
    assert comparison.take_daemon_to_query(60) is None


def test_local_zone_is_queried_first_and_one_daemon_at_a_time() -> None:
    far, near = make_record('far', 'there'), make_record('near')
    comparison = make_comparison(make_directory(far, near))
    comparison.record_digest('far', b'another', 0)
    comparison.record_digest('near', b'another', 0)
    assert comparison.take_daemon_to_query(10) == 'near'
    assert comparison.take_daemon_to_query(10.1) is None
    assert comparison.take_daemon_to_query(12) == 'far'


def test_start_of_a_mesh_leads_to_few_queries() -> None:
    """In a mesh of 80, each daemon learns of the others one by one."""
    count = 80
    records = [make_record(f'd-{number}') for number in range(count)]
    asked = 0
    for number in range(count):
        directory = Directory(local=records[number])
        comparison = make_comparison(directory)
        for heard, record in enumerate(records):
            # Each sends its hello while it knows only a part of the others.
            now = heard / count
            part = Directory(local=record)
            for known in records[: heard // 2]:
                part.record_contact(known, now)
            directory.record_contact(record, now)
            comparison.record_digest(record.name, part.digest, now)
        asked += sum(
            comparison.take_daemon_to_query(1 + step / 5) is not None
            for step in range(25)
        )
    assert asked <= count * 6
