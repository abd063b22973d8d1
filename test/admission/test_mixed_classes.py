"""Test loads of long and short, urgent and delay-tolerant requests."""

import itertools

import attrs

from test.admission.driver import (
    Kind,
    Rules,
    Sent,
    fair,
    first_come,
    make_mix,
    play,
    present,
    share_in_time,
)

HISTORY = Kind(name='history', work=0.7, objective=2.261, deadline=5.166)
DOWNLOAD = Kind(name='download', work=0.14, objective=1.054, deadline=1.887)
CALL = Kind(name='call', work=0.05, objective=0.292, deadline=0.824)
FETCH = Kind(name='fetch', work=0.215, objective=0.93, deadline=1.2)
WARNING = Kind(name='warning', work=0.28, objective=1.148, deadline=1.5)
TIMED_HISTORY = attrs.evolve(HISTORY, deadline=3)

PARTS = ((HISTORY, 0.35), (DOWNLOAD, 0.45), (CALL, 0.2))

RULES = (fair(), present, first_come)


def share_ended(played: list[Sent], kind: Kind) -> float:
    found = [sent for sent in played if sent.kind is kind]
    return sum(sent.ended_at is not None for sent in found) / len(found)


def find_longest_gap(played: list[Sent], kind: Kind) -> float:
    """Return the longest time in which no request of a class started."""
    starts = sorted(
        sent.started_at
        for sent in played
        if sent.kind is kind and sent.started_at is not None
    )
    pairs = itertools.pairwise(starts)
    return max(after - before for before, after in pairs)


def test_long_requests_wait_behind_urgent_ones_and_do_not_starve() -> None:
    """Load: delay-tolerant, urgent and short requests at 1.2 times capacity.

    Guards against the least urgent class getting the best service because it
    has the longest deadline, and against its starvation.
    """
    load = make_mix(1.2, PARTS, seconds=60)
    adapted, earlier, naive = (play(rules, load) for rules in RULES)
    assert share_in_time(adapted, CALL) > 0.98
    assert share_in_time(adapted, DOWNLOAD) > 0.85
    assert share_ended(adapted, HISTORY) > 0.3
    assert find_longest_gap(adapted, HISTORY) < 4
    assert share_in_time(earlier, DOWNLOAD) < 0.7
    assert share_in_time(earlier, HISTORY) > share_in_time(earlier, DOWNLOAD)
    assert share_in_time(adapted) > share_in_time(earlier) + 0.1
    assert share_in_time(earlier) > share_in_time(naive)


def test_long_requests_do_not_starve_at_twice_the_capacity() -> None:
    """Load: the same classes at twice the capacity.

    Guards against a standing load of urgent requests that holds back the
    others for good.
    """
    load = make_mix(2, PARTS, seconds=60)
    played = play(fair(), load)
    others = share_ended(played, DOWNLOAD)
    assert share_ended(played, HISTORY) > others * 0.4
    assert share_in_time(played) > share_in_time(play(present, load))


def make_varied_load() -> list[Sent]:
    """Return a load on a slow target with periods of interference.

    Its service times are 1.5 times the usual ones, and 2.5 times as long for
    2 s of 8 s. Callers give up at the timeouts of their routes.
    """
    parts = ((FETCH, 0.45), (WARNING, 0.3), (CALL, 0.1), (TIMED_HISTORY, 0.15))
    load = make_mix(1.5 / 1.5 / 1.375, parts, seconds=80)
    for sent in load:
        sent.work *= 1.5
        if sent.at % 8 >= 6:
            sent.work *= 2.5
    return load


def test_few_requests_are_cut_at_their_deadline_in_a_slot() -> None:
    """Load: 1.5 times capacity, with periods of interference.

    Guards against slots held by requests that can't end in time: half of the
    mean service time counted as enough.
    """
    load = make_varied_load()
    cut: dict[Rules, int] = {}
    in_time: dict[Rules, float] = {}
    for rules in RULES:
        played = play(rules, load)
        cut[rules] = sum(sent.cut_at is not None for sent in played)
        in_time[rules] = share_in_time(played)
    adapted, earlier, naive = (cut[rules] for rules in RULES)
    assert adapted < earlier * 0.75
    assert earlier < naive
    assert in_time[RULES[0]] > in_time[present]
    assert in_time[present] > in_time[first_come]
