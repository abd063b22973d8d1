"""Check whom a daemon asks for others, without a network."""

from goldcrestwharf.discovery import (
    DaemonRecord,
    Directory,
    DirectoryComparison,
    ToldRecord,
)
from test.helper import make_rng

MOST_WAIT_S = 1.0


def make_record(name: str, zone: str = 'here') -> DaemonRecord:
    return DaemonRecord(name=name, address=f'{name}:1', zone=zone)


def make_directory(*known: DaemonRecord) -> Directory:
    directory = Directory(own=make_record('own'))
    for record in known:
        directory.note_heard(record, 0)
    return directory


def make_comparison(directory: Directory) -> DirectoryComparison:
    return DirectoryComparison(directory=directory, rng=make_rng())


def test_daemon_that_knows_the_same_is_not_asked() -> None:
    directory = make_directory(make_record('peer'))
    comparison = make_comparison(directory)
    comparison.note_digest('peer', directory.digest, 0)
    assert comparison.find_daemon_to_ask(60) is None


def test_daemon_that_knows_others_is_asked_once_after_a_while() -> None:
    comparison = make_comparison(make_directory(make_record('peer')))
    comparison.note_digest('peer', b'another', 0)
    assert comparison.find_daemon_to_ask(0) is None
    assert comparison.find_daemon_to_ask(MOST_WAIT_S) == 'peer'
    assert comparison.find_daemon_to_ask(60) is None


def test_difference_that_has_gone_by_itself_is_not_asked_for() -> None:
    directory = make_directory(make_record('peer'))
    comparison = make_comparison(directory)
    whole = make_directory(make_record('peer'), make_record('late'))
    comparison.note_digest('peer', whole.digest, 0)
    directory.note_told(ToldRecord(record=make_record('late')), 0.1)
    assert comparison.find_daemon_to_ask(60) is None


def test_own_zone_is_asked_first_and_one_daemon_at_a_time() -> None:
    far, near = make_record('far', 'there'), make_record('near')
    comparison = make_comparison(make_directory(far, near))
    comparison.note_digest('far', b'another', 0)
    comparison.note_digest('near', b'another', 0)
    assert comparison.find_daemon_to_ask(10) == 'near'
    assert comparison.find_daemon_to_ask(10.1) is None
    assert comparison.find_daemon_to_ask(12) == 'far'


def test_a_starting_mesh_asks_little() -> None:
    """A mesh of 80 starts; each daemon learns of the others one by one."""
    count = 80
    records = [make_record(f'd-{number}') for number in range(count)]
    asked = 0
    for number in range(count):
        directory = Directory(own=records[number])
        comparison = make_comparison(directory)
        for heard, record in enumerate(records):
            # Each introduces itself while it knows but a part of the others.
            now = heard / count
            part = Directory(own=record)
            for known in records[: heard // 2]:
                part.note_heard(known, now)
            directory.note_heard(record, now)
            comparison.note_digest(record.name, part.digest, now)
        asked += sum(
            comparison.find_daemon_to_ask(1 + step / 5) is not None
            for step in range(25)
        )
    assert asked <= count * 6
