"""Test when versions are fetched, and from which daemons."""

from goldcrestwharf.discovery import Announcement, FetchSchedule


def announce(
    schedule: FetchSchedule,
    daemon: str,
    version: int,
    *,
    due: float = 0,
    now: float = 0,
    is_local_zone: bool = True,
) -> bool:
    announcement = Announcement(
        daemon=daemon,
        version=version,
        due=due,
        is_local_zone=is_local_zone,
    )
    return schedule.announce(announcement, now)


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
    assert take(schedule, 1.4) is None
    assert take(schedule, 1.5) == 'a'


def test_fetch_from_a_daemon_that_is_lost_is_repeated_at_once() -> None:
    schedule = FetchSchedule(is_low_bandwidth=True)
    announce(schedule, 'a', 4)
    announce(schedule, 'b', 4)
    assert take(schedule, 0) == 'a'
    schedule.forget('a')
    assert take(schedule, 0.1) == 'b'


def test_loss_of_another_daemon_does_not_repeat_a_fetch() -> None:
    schedule = FetchSchedule()
    announce(schedule, 'a', 4)
    announce(schedule, 'b', 4)
    assert take(schedule, 0) == 'a'
    schedule.forget('b')
    assert take(schedule, 0.1) is None


def test_version_stays_due_if_the_only_daemon_that_has_it_is_lost() -> None:
    schedule = FetchSchedule()
    announce(schedule, 'a', 4)
    assert take(schedule, 0) == 'a'
    schedule.forget('a')
    assert schedule.next_due is None
    announce(schedule, 'b', 4, due=1.3, now=0.1, is_local_zone=False)
    assert take(schedule, 0.1) == 'b'


def test_lone_daemon_without_an_answer_is_asked_again() -> None:
    schedule = FetchSchedule()
    announce(schedule, 'a', 4)
    asked = [now / 2 for now in range(8) if take(schedule, now / 2)]
    assert asked == [0, 1, 2, 3]


def test_lost_answers_do_not_delay_a_fetch_from_another_daemon() -> None:
    schedule = FetchSchedule()
    announce(schedule, 'a', 4)
    for now in range(4):
        assert take(schedule, now) == 'a'
    announce(schedule, 'b', 5, due=3.6, now=3.6)
    assert schedule.next_due == 3.5
    assert take(schedule, 3.6) == 'b'


def test_whole_configuration_on_a_slow_link_is_not_fetched_twice() -> None:
    schedule = FetchSchedule(is_low_bandwidth=True)
    for daemon in ('a', 'b'):
        announce(schedule, daemon, 4)
    assert take(schedule, 0) == 'a'
    assert take(schedule, 1.9) is None


def test_change_on_a_slow_link_is_fetched_elsewhere_earlier() -> None:
    schedule = FetchSchedule(is_low_bandwidth=True)
    schedule.adopt(3)
    for daemon in ('a', 'b'):
        announce(schedule, daemon, 4)
    assert take(schedule, 0) == 'a'
    assert take(schedule, 0.9) is None
    assert take(schedule, 1) == 'b'


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
    schedule.reject('a', 9)
    assert not announce(schedule, 'a', 9, due=1.1)
    assert take(schedule, 1.4) is None
    assert take(schedule, 1.5) == 'b'


def test_versions_that_are_of_no_use_are_not_fetched_in_turn() -> None:
    schedule = FetchSchedule()
    fetched = []
    for step in range(50):
        now = step / 10
        announce(schedule, 'a', 10, due=now)
        announce(schedule, 'b', 12, due=now)
        source = schedule.take_source(now)
        if source is not None:
            fetched.append(source.daemon)
            # The second has a later version than it has announced.
            schedule.reject(source.daemon, source.version + 1)
    assert fetched == ['b', 'a']


def test_unusable_document_does_not_exclude_that_of_another_daemon() -> None:
    schedule = FetchSchedule()
    announce(schedule, 'a', 10)
    assert take(schedule, 0) == 'a'
    schedule.reject('a', 12)
    assert announce(schedule, 'b', 10)
    assert take(schedule, 1) == 'b'


def test_daemon_that_went_back_does_not_end_the_fetches() -> None:
    schedule = FetchSchedule()
    announce(schedule, 'a', 10, due=1)
    announce(schedule, 'a', 5, due=2)
    schedule.adopt(5)
    assert schedule.next_due is None
    assert announce(schedule, 'b', 9, due=3)
    assert take(schedule, 3) == 'b'


def test_versions_that_cant_be_fetched_need_no_more_and_more_memory() -> None:
    schedule = FetchSchedule()
    for version in range(1000):
        announce(schedule, 'a', version, due=version + 5, now=version)
    assert len(schedule._due) < 10


def test_answer_allows_the_next_fetch_at_once() -> None:
    schedule = FetchSchedule()
    announce(schedule, 'a', 4, due=1)
    announce(schedule, 'a', 5, due=1.1)
    assert take(schedule, 1) == 'a'
    schedule.adopt(4)
    assert take(schedule, 1.1) == 'a'
