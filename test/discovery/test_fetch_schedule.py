"""Test when versions are fetched, and from which daemons."""

from goldcrestwharf.discovery import Announcement, FetchSchedule


def announce(
    schedule: FetchSchedule,
    daemon: str,
    version: int,
    *,
    due: float = 0,
    is_local_zone: bool = True,
) -> bool:
    return schedule.announce(
        Announcement(
            daemon=daemon,
            version=version,
            due=due,
            is_local_zone=is_local_zone,
        )
    )


def take(schedule: FetchSchedule, now: float) -> str | None:
    source = schedule.take_source(now)
    return source.daemon if source else None


def test_later_versions_do_not_put_off_a_fetch() -> None:
    schedule = FetchSchedule()
    for version in range(4, 20):
        announce(schedule, 'a', version, due=version / 4)
    assert schedule.next_due == 1
    assert take(schedule, 0.9) is None
    assert take(schedule, 1) == 'a'


def test_adopted_version_leaves_the_later_ones_due_as_they_were() -> None:
    schedule = FetchSchedule()
    announce(schedule, 'a', 4, due=1)
    announce(schedule, 'a', 5, due=2)
    schedule.adopt(4)
    assert schedule.next_due == 2
    schedule.adopt(5)
    assert schedule.next_due is None


def test_fetch_without_an_answer_is_repeated_at_another_daemon() -> None:
    schedule = FetchSchedule()
    announce(schedule, 'a', 4)
    announce(schedule, 'b', 4)
    assert take(schedule, 0) == 'a'
    assert take(schedule, 0.4) is None
    assert take(schedule, 0.5) == 'b'
    assert take(schedule, 1.5) == 'a'


def test_lone_daemon_without_an_answer_is_asked_less_and_less_often() -> None:
    schedule = FetchSchedule()
    announce(schedule, 'a', 4)
    asked = [now / 2 for now in range(20) if take(schedule, now / 2)]
    assert asked == [0, 0.5, 1.5, 3.5, 7.5]


def test_daemon_of_the_zone_is_asked_first() -> None:
    schedule = FetchSchedule()
    announce(schedule, 'far', 6, is_local_zone=False)
    announce(schedule, 'near', 5)
    assert take(schedule, 0) == 'near'


def test_version_that_is_of_no_use_does_not_hide_an_earlier_one() -> None:
    schedule = FetchSchedule()
    announce(schedule, 'a', 9, due=1)
    announce(schedule, 'b', 5, due=2)
    assert take(schedule, 1) == 'a'
    schedule.reject(9)
    assert not announce(schedule, 'a', 9, due=1.1)
    assert take(schedule, 1.1) == 'b'


def test_answer_allows_the_next_fetch_at_once() -> None:
    schedule = FetchSchedule()
    announce(schedule, 'a', 4, due=1)
    announce(schedule, 'a', 5, due=1.1)
    assert take(schedule, 1) == 'a'
    schedule.adopt(4)
    assert take(schedule, 1.1) == 'a'
