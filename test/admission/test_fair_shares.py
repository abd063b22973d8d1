"""Test the shares of workspaces at one target and over many."""

import itertools
from collections.abc import Callable
from types import MappingProxyType

import pytest

from test.admission.driver import (
    SLOTS,
    Kind,
    Rules,
    Sent,
    fair,
    find_slot_times,
    first_come,
    make_load,
    play,
    present,
    share_in_time,
)
from test.helper import make_rng

FETCH = Kind(name='fetch', work=0.215, objective=0.93, deadline=1.2)
WARNING = Kind(name='warning', work=0.28, objective=1.148, deadline=1.5)
UPLOAD = Kind(name='upload', work=0.258, objective=2.295, deadline=2.784)

#: Parts of the requests, and the mean service time over them.
PARTS = ((FETCH, 0.6), (WARNING, 0.25), (UPLOAD, 0.15))
MEAN_S = sum(kind.work * part for kind, part in PARTS)

#: The n-th of the workspaces usually sends a n-th of what the first one does.
SIZES = MappingProxyType({f'w{number}': 1 / number for number in range(1, 79)})
SENDER = 'w4'
WEIGHTS = MappingProxyType({name: size * 10 for name, size in SIZES.items()})
OVERLOAD = 1.3


def make_skewed_load(targets: int, seconds: float) -> list[Sent]:
    """Return 1.3 times the capacity, with one at 8 times its usual load."""
    demand = {**SIZES, SENDER: SIZES[SENDER] * 8}
    total = OVERLOAD * targets * SLOTS / MEAN_S
    unit = total / sum(demand.values())
    rng = make_rng()
    load: list[Sent] = []
    for name, (kind, part) in itertools.product(demand, PARTS):
        load.extend(
            make_load(
                kind,
                rate=demand[name] * part * unit,
                rng=rng,
                seconds=seconds,
                workspace=name,
            )
        )
    return load


def find_fair_times(
    asked: dict[str, float], capacity: float
) -> dict[str, float]:
    """Return the weighted max-min fair slot times of all workspaces."""
    left = dict(asked)
    times: dict[str, float] = {}
    while left:
        level = capacity / sum(WEIGHTS[name] for name in left)
        ratios = {name: left[name] / WEIGHTS[name] for name in left}
        name = min(ratios, key=ratios.__getitem__)
        times[name] = min(left.pop(name), level * WEIGHTS[name])
        capacity -= times[name]
    return times


def find_shares(load: list[Sent], played: list[Sent]) -> dict[str, float]:
    """Return what each workspace got relative to its fair slot time."""
    asked: dict[str, float] = {}
    for sent in load:
        asked[sent.workspace] = asked.get(sent.workspace, 0) + sent.work
    got = find_slot_times(played)
    fair_times = find_fair_times(asked, sum(got.values()))
    return {name: got[name] / fair_times[name] for name in asked}


def play_at_one(rules: Rules) -> tuple[list[Sent], list[Sent]]:
    load = make_skewed_load(1, seconds=60)
    return load, play(rules, load)


def play_at_many(rules: Rules) -> tuple[list[Sent], list[Sent]]:
    """Place each request at random on one of 20 independent targets."""
    load = make_skewed_load(20, seconds=12)
    rng = make_rng()
    placed: list[list[Sent]] = [[] for _ in range(20)]
    for sent in load:
        rng.choice(placed).append(sent)
    return load, [sent for part in placed for sent in play(rules, part)]


Play = Callable[[Rules], tuple[list[Sent], list[Sent]]]


@pytest.mark.parametrize('play_load', [play_at_one, play_at_many])
def test_workspaces_within_their_shares_are_served_beside_one_that_is_not(
    play_load: Play,
) -> None:
    """Load: 78 workspaces at 1.3 times capacity, one at 8 times its usual.

    Guards against one workspace whose excess takes the slots of the others.
    """
    in_time: dict[Rules, float] = {}
    shares: dict[Rules, dict[str, float]] = {}
    rules = fair(WEIGHTS)
    for one in (rules, present, first_come):
        load, played = play_load(one)
        others = [sent for sent in played if sent.workspace != SENDER]
        in_time[one] = share_in_time(others)
        shares[one] = find_shares(load, played)
    assert in_time[rules] > 0.9
    assert in_time[rules] > in_time[present] + 0.1
    assert in_time[present] > in_time[first_come]
    # What the sender gets beyond its share, the others could not use.
    assert 0.9 < shares[rules][SENDER] < 1.6
    assert shares[present][SENDER] > 2
    assert min(shares[rules].values()) > 0.65
    assert min(shares[present].values()) < 0.6
