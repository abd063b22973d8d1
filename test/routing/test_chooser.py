from collections import Counter

import attrs
import pytest

from goldcrestwharf.membership import MemberState, TargetState
from goldcrestwharf.objects import TargetGroup
from goldcrestwharf.routing import (
    OutcomeKind,
    RoutingSettings,
    TargetKey,
    TargetLoad,
)
from test.routing.fleet import GROUP, FakeView, Fleet, key, make_pair

ANY = TargetGroup(max_ejected_percent=50, eject_ms=2000)
NONE: frozenset[TargetKey] = frozenset()
BAD = (OutcomeKind.FAILED, OutcomeKind.TIMED_OUT, OutcomeKind.NOT_REACHED)


def make_fleet(
    *,
    own: int = 4,
    others: int = 0,
    cfg: RoutingSettings | None = None,
) -> Fleet:
    pairs = [make_pair(number) for number in range(own)]
    pairs += [
        make_pair(number, zone='recife-b')
        for number in range(own, own + others)
    ]
    return Fleet(
        view=FakeView(pairs=tuple(pairs)), cfg=cfg or RoutingSettings()
    )


def choose(
    fleet: Fleet,
    group: TargetGroup = ANY,
    *,
    exclude: frozenset[TargetKey] = NONE,
) -> TargetKey | None:
    """Choose a target and give the request up at once."""
    chosen = fleet.chooser.choose(GROUP, group, exclude=exclude)
    if chosen is None:
        return None
    fleet.note(chosen, OutcomeKind.ABANDONED)
    return chosen.key


def spread(
    fleet: Fleet,
    group: TargetGroup = ANY,
    *,
    times: int = 400,
) -> Counter[TargetKey | None]:
    return Counter(choose(fleet, group) for _ in range(times))


def drive(
    fleet: Fleet,
    kinds: dict[int, OutcomeKind],
    *,
    times: int = 200,
    group: TargetGroup = ANY,
) -> Counter[TargetKey]:
    """Send requests one by one; targets in ``kinds`` end them so."""
    by_key = {key(number): kind for number, kind in kinds.items()}
    sent: Counter[TargetKey] = Counter()
    for _ in range(times):
        chosen = fleet.chooser.choose(GROUP, group)
        assert chosen is not None
        sent[chosen.key] += 1
        fleet.note(chosen, by_key.get(chosen.key, OutcomeKind.ANSWERED))
    return sent


def report(fleet: Fleet, number: int, load: TargetLoad) -> None:
    """Let one target answer with its load."""
    others = frozenset(
        key(other) for other in range(len(fleet.view.pairs)) if other != number
    )
    chosen = fleet.chooser.choose(GROUP, ANY, exclude=others)
    assert chosen is not None
    fleet.note(chosen, load=load)


def test_no_target_no_choice() -> None:
    assert choose(make_fleet(own=0)) is None


def test_the_own_zone_goes_first() -> None:
    sent = spread(make_fleet(own=2, others=6))
    assert set(sent) == {key(0), key(1)}


def test_an_empty_zone_uses_the_others() -> None:
    assert set(spread(make_fleet(own=0, others=2))) == {key(0), key(1)}


@pytest.mark.parametrize(
    'gone',
    [
        make_pair(0, target_state=TargetState.LEAVING),
        make_pair(0, member_state=MemberState.LEAVING),
        make_pair(0, member_state=MemberState.DEAD),
    ],
)
def test_what_leaves_is_not_chosen_even_if_it_is_the_last(gone: object) -> None:
    fleet = Fleet(view=FakeView(pairs=(make_pair(0),)))
    assert choose(fleet) == key(0)
    fleet.view.pairs = (gone,)
    assert choose(fleet) is None


def test_of_suspects_that_are_listed_the_requests_decide() -> None:
    suspects = [
        make_pair(number, member_state=MemberState.SUSPECT)
        for number in range(2)
    ]
    fleet = Fleet(
        view=FakeView(
            pairs=(*suspects, make_pair(2), make_pair(3, zone='recife-b')),
        ),
    )
    assert set(spread(fleet)) == {key(0), key(1), key(2)}
    drive(fleet, {0: OutcomeKind.NOT_REACHED})
    assert set(spread(fleet)) == {key(1), key(2)}
    exclude = frozenset((key(1), key(2), key(3)))
    assert choose(fleet, exclude=exclude) == key(0)


def test_excluded_targets_are_never_returned() -> None:
    fleet = make_fleet(own=2)
    assert choose(fleet, exclude=frozenset((key(0),))) == key(1)
    assert choose(fleet, exclude=frozenset((key(0), key(1)))) is None


def test_a_further_try_goes_to_another_zone_first() -> None:
    fleet = make_fleet(own=3, others=2)
    exclude = frozenset((key(0),))
    chosen = {choose(fleet, exclude=exclude) for _ in range(100)}
    assert chosen == {key(3), key(4)}
    exclude |= {key(3), key(4)}
    assert choose(fleet, exclude=exclude) in {key(1), key(2)}


def test_the_less_loaded_of_two_is_chosen() -> None:
    fleet = make_fleet(own=2)
    report(fleet, 0, TargetLoad(in_use=10, queued=0, slots=12))
    report(fleet, 1, TargetLoad(in_use=2, queued=0, slots=12))
    assert set(spread(fleet)) == {key(1)}


def test_an_old_report_fades() -> None:
    fleet = make_fleet(own=2)
    report(fleet, 0, TargetLoad(in_use=12, queued=12, slots=12))
    fleet.chooser.choose(GROUP, ANY)
    assert set(spread(fleet, times=50)) == {key(1)}
    fleet.timers.skip(30)
    assert key(0) in spread(fleet, times=50)


def test_own_outstanding_requests_count() -> None:
    fleet = make_fleet(own=2)
    for _ in range(10):
        fleet.chooser.choose(GROUP, ANY)
    kept = Counter(fleet.chooser.choose(GROUP, ANY).key for _ in range(10))
    assert set(kept.values()) == {5}


def test_a_new_target_gets_its_share_slowly() -> None:
    group = TargetGroup(slow_start_ms=10_000)
    fleet = make_fleet(own=3)
    spread(fleet, group)
    fleet.timers.skip(20)
    fleet.view.pairs = (*fleet.view.pairs, make_pair(3))
    shares = []
    for _ in range(3):
        shares.append(spread(fleet, group)[key(3)])
        fleet.timers.skip(5)
    assert shares[0] < 20
    assert shares[0] < shares[1] < shares[2]
    assert 70 < shares[2] < 130


def test_a_cold_target_gets_its_share_slowly_by_its_own_hint() -> None:
    fleet = make_fleet(own=1)
    spread(fleet)
    fleet.timers.skip(60)
    member, target = make_pair(1)
    cold = attrs.evolve(target, cold_start_ms=20_000)
    fleet.view.pairs = (*fleet.view.pairs, (member, cold))
    assert spread(fleet)[key(1)] < 60
    fleet.timers.skip(21)
    assert spread(fleet)[key(1)] > 150


@pytest.mark.parametrize('failures', [1, 3, 7])
def test_the_group_says_how_many_failures_eject(failures: int) -> None:
    fleet = make_fleet()
    group = TargetGroup(eject_after=failures)
    sent = drive(fleet, {0: OutcomeKind.FAILED}, group=group)
    assert sent[key(0)] == failures


@pytest.mark.parametrize(('percent', 'expected'), [(40, True), (60, False)])
def test_the_group_says_from_which_use_requests_leave_the_zone(
    percent: int,
    expected: bool,
) -> None:
    fleet = make_fleet(own=2, others=2)
    group = TargetGroup(spill_percent=percent)
    for _ in range(12):
        fleet.chooser.choose(GROUP, group)
        fleet.timers.skip(0.5)
    later = [fleet.chooser.choose(GROUP, group) for _ in range(60)]
    zones = {one.member.zone for one in later if one is not None}
    assert ('recife-b' in zones) is expected


@pytest.mark.parametrize('kind', BAD)
def test_a_failing_target_is_ejected_whatever_its_health(
    kind: OutcomeKind,
) -> None:
    fleet = make_fleet()
    sent = drive(fleet, {0: kind})
    assert sent[key(0)] == 5
    assert drive(fleet, {0: kind})[key(0)] == 0


def test_an_ejected_target_is_probed_and_comes_back() -> None:
    fleet = make_fleet()
    drive(fleet, {0: OutcomeKind.FAILED})
    fleet.timers.skip(1.4)
    assert drive(fleet, {})[key(0)] == 0
    fleet.timers.skip(1)
    assert drive(fleet, {})[key(0)] > 20


def test_ejections_grow_and_one_request_probes_at_a_time() -> None:
    fleet = make_fleet()
    drive(fleet, {0: OutcomeKind.FAILED})
    probes = []
    for _ in range(60):
        fleet.timers.skip(1)
        probes.append(drive(fleet, {0: OutcomeKind.FAILED}, times=5)[key(0)])
    assert max(probes) == 1
    assert 3 <= sum(probes) <= 6


def test_a_probe_is_not_doubled_while_it_runs() -> None:
    fleet = make_fleet()
    drive(fleet, {0: OutcomeKind.FAILED})
    fleet.timers.skip(5)
    first = fleet.chooser.choose(GROUP, ANY)
    assert first.key == key(0)
    assert key(0) not in spread(fleet)


def test_a_request_that_may_not_be_repeated_is_no_probe() -> None:
    fleet = make_fleet()
    drive(fleet, {0: OutcomeKind.FAILED})
    fleet.timers.skip(5)
    for _ in range(50):
        chosen = fleet.chooser.choose(GROUP, ANY, may_probe=False)
        assert chosen.key != key(0)


@pytest.mark.parametrize(
    ('percent', 'expected'),
    [(0, 0), (20, 0), (25, 1), (50, 2), (74, 2), (75, 3)],
)
def test_no_more_targets_are_ejected_than_the_cap_allows(
    percent: int,
    expected: int,
) -> None:
    fleet = make_fleet()
    group = TargetGroup(max_ejected_percent=percent)
    failing = dict.fromkeys(range(4), OutcomeKind.FAILED)
    drive(fleet, failing, group=group)
    assert 4 - len(drive(fleet, failing, group=group)) == expected


def test_in_a_panic_all_are_tried_and_what_answers_comes_back() -> None:
    fleet = make_fleet()
    group = TargetGroup(max_ejected_percent=100)
    failing = dict.fromkeys(range(4), OutcomeKind.FAILED)
    drive(fleet, failing, group=group)
    assert len(spread(fleet, group)) == 4
    failing.pop(0)
    sent = drive(fleet, failing, group=group, times=400)
    assert sent[key(0)] > 300


def test_half_of_the_requests_failing_is_enough() -> None:
    fleet = make_fleet()
    ends = [OutcomeKind.FAILED, OutcomeKind.ANSWERED]
    for turn in range(400):
        chosen = fleet.chooser.choose(GROUP, ANY)
        kind = ends[turn % 2] if chosen.key == key(0) else ends[1]
        fleet.note(chosen, kind)
    assert spread(fleet)[key(0)] == 0


def test_refusals_and_abandoned_requests_eject_nobody() -> None:
    fleet = make_fleet()
    for kind in (OutcomeKind.REFUSED, OutcomeKind.ABANDONED):
        drive(fleet, dict.fromkeys(range(4), kind))
    assert len(spread(fleet)) == 4


def test_a_short_absence_forgives_no_ejections() -> None:
    fleet = make_fleet()
    drive(fleet, {0: OutcomeKind.FAILED})
    pairs = fleet.view.pairs
    fleet.view.pairs = pairs[1:]
    spread(fleet, times=10)
    fleet.view.pairs = pairs
    assert spread(fleet)[key(0)] == 0


def test_outcomes_of_unknown_targets_are_ignored() -> None:
    fleet = make_fleet()
    chosen = fleet.chooser.choose(GROUP, ANY)
    fleet.view.pairs = ()
    fleet.note(chosen, OutcomeKind.FAILED)
    fleet.note(chosen, OutcomeKind.FAILED)
    assert choose(fleet) is None
