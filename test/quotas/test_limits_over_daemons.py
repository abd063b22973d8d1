"""Test limits over 72 daemons under load, against simpler rules.

The load of all tests: 78 workspaces send 0.6 to 180 requests a second, each
1/1.6 of its limit, unevenly over 72 entries. From 5 s on the largest one
sends eight times as much.
"""

import math
from collections import Counter
from collections.abc import Iterable

import pytest

from goldcrestwharf.admission import Refusal
from test.quotas.model import (
    DAEMONS,
    Arrival,
    Change,
    CountsAlone,
    Cut,
    Daemon,
    FixedShare,
    Mesh,
    connect_all,
    send_load,
)

LOUD = 'workspace-1'
NAMES = tuple(f'daemon-{number}' for number in range(DAEMONS))

#: Daemons of the zone that is cut off.
ZONE_SIZE = DAEMONS // 4


def run_load(
    kind: type[Daemon] = Daemon,
    changes: tuple[Change, ...] = (),
    seconds: float = 13,
    burst_s: float = 1,
) -> Mesh:
    mesh = Mesh(kind=kind, changes=changes, burst_s=burst_s)
    send_load(mesh, seconds, LOUD)
    mesh.advance(seconds)
    return mesh


def cut_off(zone: Iterable[str]) -> Cut:
    members = frozenset(zone)
    return lambda one, other: (one in members) == (other in members)


def find_coordinator() -> str:
    return Mesh().rank(LOUD)[0]


def test_overload_of_one_workspace_costs_the_others_nothing() -> None:
    mesh = run_load()
    fixed = run_load(FixedShare)
    alone = run_load(CountsAlone)
    assert mesh.find_excess() <= 1
    assert mesh.records.find_refused_share(without=LOUD) < 0.01
    # A fixed share per daemon refuses those whose requests are uneven, and
    # daemons that count alone let in several times the limit.
    assert fixed.records.find_refused_share(without=LOUD) > 0.1
    assert alone.find_excess() > 2


def test_workspace_over_its_limit_gets_its_limit() -> None:
    mesh = run_load()
    admitted = mesh.records.find_rate(LOUD, 8, 12)
    assert admitted > 0.95 * mesh.limits[LOUD].rate


def test_death_of_the_coordinator_neither_exceeds_nor_ends_the_limit() -> None:
    dead = find_coordinator()
    change = Change(
        at=8, is_connected=lambda one, other: dead not in {one, other}
    )
    mesh = run_load(changes=(change,), seconds=14)
    admitted = mesh.records.find_rate(LOUD, 10, 13)
    assert mesh.find_excess() <= 1
    assert admitted > 0.95 * mesh.limits[LOUD].rate
    assert mesh.records.find_refused_share(without=LOUD) < 0.01


def test_coordinator_that_pauses_again_and_again_keeps_the_bound() -> None:
    """Guards against takeovers that each add a bucket to the last one."""
    paused = find_coordinator()
    changes = tuple(
        Change(at=at, is_connected=connect_all if at % 2 else cut_off([paused]))
        for at in range(6, 14)
    )
    mesh = run_load(changes=changes, seconds=15)
    assert mesh.find_excess() <= 1
    assert mesh.records.find_refused_share(without=LOUD) < 0.02


@pytest.mark.parametrize('is_inside', [True, False])
@pytest.mark.parametrize(('burst_s', 'refused'), [(1, 0.03), (0, 0.06)])
def test_zone_that_is_cut_off_and_healed_keeps_the_bound(
    burst_s: float, refused: float, is_inside: bool
) -> None:
    coordinator = find_coordinator()
    others = [name for name in NAMES if name != coordinator]
    zone = others[:ZONE_SIZE]
    if is_inside:
        zone = [coordinator, *others[: ZONE_SIZE - 1]]
    changes = (
        Change(at=7, is_connected=cut_off(zone)),
        Change(at=12, is_connected=connect_all),
    )
    mesh = run_load(changes=changes, seconds=18, burst_s=burst_s)
    assert mesh.find_excess() <= 1
    assert mesh.records.find_refused_share(without=LOUD) < refused


def test_cut_into_four_zones_keeps_the_bound() -> None:
    def is_same_zone(one: str, other: str) -> bool:
        return NAMES.index(one) % 4 == NAMES.index(other) % 4

    change = Change(at=7, is_connected=is_same_zone)
    mesh = run_load(changes=(change,))
    alone = run_load(CountsAlone, changes=(change,))
    assert mesh.find_excess() <= 1
    assert alone.find_excess() > 2


def test_lowered_limit_holds_after_a_second() -> None:
    mesh = Mesh()
    send_load(mesh, 15, LOUD)
    mesh.advance(8)
    mesh.lower(LOUD, 0.25)
    mesh.advance(15)
    assert mesh.records.find_peak(LOUD, after=9) <= mesh.find_bound(LOUD)
    # The former limit would exceed it.
    assert mesh.records.find_peak(LOUD) > mesh.find_bound(LOUD)
    admitted = mesh.records.find_rate(LOUD, 11, 14)
    assert admitted > 0.9 * mesh.limits[LOUD].rate


class Callers:
    """Callers of which every second one returns 40 times a second."""

    def __init__(self) -> None:
        self.sent: Counter[bool] = Counter()
        self.refused: dict[str, Arrival] = {}

    def find_return(self, arrival: Arrival, refusal: Refusal) -> float | None:
        if arrival.workspace != LOUD or arrival.at > arrival.first_at + 2:
            return None
        self.refused[arrival.request_id] = arrival
        return 0.025 if is_impatient(arrival) else refusal.retry_after

    def find_admitted_shares(self, mesh: Mesh) -> tuple[float, float]:
        """Return the admitted shares of the impatient and of the others."""
        admitted: Counter[bool] = Counter()
        refused: Counter[bool] = Counter()
        for arrival in self.refused.values():
            refused[is_impatient(arrival)] += 1
            if arrival.request_id in mesh.records.admitted_ids:
                admitted[is_impatient(arrival)] += 1
        return (
            admitted[True] / refused[True],
            admitted[False] / refused[False],
        )


def is_impatient(arrival: Arrival) -> bool:
    return int(arrival.request_id.removeprefix('r-')) % 2 == 0


@pytest.mark.parametrize('is_remembered', [True, False])
def test_callers_that_return_at_once_get_no_more_than_those_that_wait(
    is_remembered: bool,
) -> None:
    mesh = Mesh()
    callers = Callers()
    mesh.find_return = callers.find_return
    mesh.load(LOUD, mesh.limits[LOUD].rate * 2, 0, 6)
    if not is_remembered:
        # The naive rule: a token for whoever comes when there is one.
        for member in mesh.members.values():
            member.stocks[LOUD].promises.find_refusal = lambda *_: None
    mesh.advance(9)
    impatient, patient = callers.find_admitted_shares(mesh)
    assert math.isfinite(impatient)
    assert (impatient <= 1.1 * patient) is is_remembered
