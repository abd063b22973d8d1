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

GROUP_SPEC = TargetGroup(max_ejected_percent=50, eject_ms=2000)
NO_TARGETS: frozenset[TargetKey] = frozenset()
FAILURES = (OutcomeKind.FAILED, OutcomeKind.TIMED_OUT, OutcomeKind.NOT_REACHED)


def make_fleet(
    *,
    local: int = 4,
    others: int = 0,
    cfg: RoutingSettings | None = None,
) -> Fleet:
    pairs = [make_pair(number) for number in range(local)]
    pairs += [
        make_pair(number, zone='recife-b')
        for number in range(local, local + others)
    ]
    return Fleet(
        view=FakeView(pairs=tuple(pairs)), cfg=cfg or RoutingSettings()
    )


def choose(
    fleet: Fleet,
    group: TargetGroup = GROUP_SPEC,
    *,
    exclude: frozenset[TargetKey] = NO_TARGETS,
) -> TargetKey | None:
    """Choose a target and abandon the request at once."""
    chosen = fleet.chooser.choose(GROUP, group, exclude=exclude)
    if chosen is None:
        return None
    fleet.note(chosen, OutcomeKind.ABANDONED)
    return chosen.key


def count_choices(
    fleet: Fleet,
    group: TargetGroup = GROUP_SPEC,
    *,
    times: int = 400,
) -> Counter[TargetKey | None]:
    return Counter(choose(fleet, group) for _ in range(times))


def send_requests(
    fleet: Fleet,
    kinds: dict[int, OutcomeKind],
    *,
    times: int = 200,
    group: TargetGroup = GROUP_SPEC,
) -> Counter[TargetKey]:
    """Send requests one by one, with the outcomes in ``kinds``."""
    by_key = {key(number): kind for number, kind in kinds.items()}
    sent: Counter[TargetKey] = Counter()
    for _ in range(times):
        chosen = fleet.chooser.choose(GROUP, group)
        assert chosen is not None
        sent[chosen.key] += 1
        fleet.note(chosen, by_key.get(chosen.key, OutcomeKind.ANSWERED))
    return sent


def report_load(fleet: Fleet, number: int, load: TargetLoad) -> None:
    """Let one target report its load with an answer."""
    others = frozenset(
        key(other) for other in range(len(fleet.view.pairs)) if other != number
    )
    chosen = fleet.chooser.choose(GROUP, GROUP_SPEC, exclude=others)
    assert chosen is not None
    fleet.note(chosen, load=load)


def test_no_choice_without_targets() -> None:
    assert choose(make_fleet(local=0)) is None


def test_local_zone_is_preferred() -> None:
    sent = count_choices(make_fleet(local=2, others=6))
    assert set(sent) == {key(0), key(1)}


def test_other_zones_are_used_if_local_zone_is_empty() -> None:
    assert set(count_choices(make_fleet(local=0, others=2))) == {key(0), key(1)}


@pytest.mark.parametrize(
    'leaving',
    [
        make_pair(0, target_state=TargetState.LEAVING),
        make_pair(0, member_state=MemberState.LEAVING),
        make_pair(0, member_state=MemberState.DEAD),
    ],
)
def test_leaving_target_is_not_chosen_even_if_last(leaving: object) -> None:
    fleet = Fleet(view=FakeView(pairs=(make_pair(0),)))
    assert choose(fleet) == key(0)
    fleet.view.pairs = (leaving,)
    assert choose(fleet) is None


def test_listed_suspects_are_judged_by_request_outcomes() -> None:
    suspects = [
        make_pair(number, member_state=MemberState.SUSPECT)
        for number in range(2)
    ]
    fleet = Fleet(
        view=FakeView(
            pairs=(*suspects, make_pair(2), make_pair(3, zone='recife-b')),
        ),
    )
    assert set(count_choices(fleet)) == {key(0), key(1), key(2)}
    send_requests(fleet, {0: OutcomeKind.NOT_REACHED})
    assert set(count_choices(fleet)) == {key(1), key(2)}
    exclude = frozenset((key(1), key(2), key(3)))
    assert choose(fleet, exclude=exclude) == key(0)


def test_excluded_targets_are_never_returned() -> None:
    fleet = make_fleet(local=2)
    assert choose(fleet, exclude=frozenset((key(0),))) == key(1)
    assert choose(fleet, exclude=frozenset((key(0), key(1)))) is None


def test_retry_prefers_another_zone() -> None:
    fleet = make_fleet(local=3, others=2)
    exclude = frozenset((key(0),))
    chosen = {choose(fleet, exclude=exclude) for _ in range(100)}
    assert chosen == {key(3), key(4)}
    exclude |= {key(3), key(4)}
    assert choose(fleet, exclude=exclude) in {key(1), key(2)}


def test_less_loaded_target_is_chosen() -> None:
    fleet = make_fleet(local=2)
    report_load(fleet, 0, TargetLoad(in_use=10, queued=0, slots=12))
    report_load(fleet, 1, TargetLoad(in_use=2, queued=0, slots=12))
    assert set(count_choices(fleet)) == {key(1)}


def test_load_report_decays() -> None:
    fleet = make_fleet(local=2)
    report_load(fleet, 0, TargetLoad(in_use=12, queued=12, slots=12))
    fleet.chooser.choose(GROUP, GROUP_SPEC)
    assert set(count_choices(fleet, times=50)) == {key(1)}
    fleet.timers.skip(30)
    assert key(0) in count_choices(fleet, times=50)


def test_outstanding_requests_count_as_load() -> None:
    fleet = make_fleet(local=2)
    for _ in range(10):
        fleet.chooser.choose(GROUP, GROUP_SPEC)
    choices = Counter(
        fleet.chooser.choose(GROUP, GROUP_SPEC).key for _ in range(10)
    )
    assert set(choices.values()) == {5}


def test_new_target_ramps_up_by_slow_start() -> None:
    group = TargetGroup(slow_start_ms=10_000)
    fleet = make_fleet(local=3)
    count_choices(fleet, group)
    fleet.timers.skip(20)
    fleet.view.pairs = (*fleet.view.pairs, make_pair(3))
    shares = []
    for _ in range(3):
        shares.append(count_choices(fleet, group)[key(3)])
        fleet.timers.skip(5)
    assert shares[0] < 20
    assert shares[0] < shares[1] < shares[2]
    assert 70 < shares[2] < 130


def test_slow_start_lasts_for_announced_cold_start() -> None:
    fleet = make_fleet(local=1)
    count_choices(fleet)
    fleet.timers.skip(60)
    member, target = make_pair(1)
    cold = attrs.evolve(target, cold_start_ms=20_000)
    fleet.view.pairs = (*fleet.view.pairs, (member, cold))
    assert count_choices(fleet)[key(1)] < 60
    fleet.timers.skip(21)
    assert count_choices(fleet)[key(1)] > 150


@pytest.mark.parametrize('failures', [1, 3, 7])
def test_group_sets_failures_until_ejection(failures: int) -> None:
    fleet = make_fleet()
    group = TargetGroup(eject_after=failures)
    sent = send_requests(fleet, {0: OutcomeKind.FAILED}, group=group)
    assert sent[key(0)] == failures


@pytest.mark.parametrize(('percent', 'expected'), [(40, True), (60, False)])
def test_group_sets_usage_at_which_spillover_starts(
    percent: int,
    expected: bool,
) -> None:
    fleet = make_fleet(local=2, others=2)
    group = TargetGroup(spill_percent=percent)
    for _ in range(12):
        fleet.chooser.choose(GROUP, group)
        fleet.timers.skip(0.5)
    later = [fleet.chooser.choose(GROUP, group) for _ in range(60)]
    zones = {one.member.zone for one in later if one is not None}
    assert ('recife-b' in zones) is expected


@pytest.mark.parametrize('kind', FAILURES)
def test_failing_target_is_ejected_although_member_is_alive(
    kind: OutcomeKind,
) -> None:
    fleet = make_fleet()
    sent = send_requests(fleet, {0: kind})
    assert sent[key(0)] == 5
    assert send_requests(fleet, {0: kind})[key(0)] == 0


def test_ejected_target_is_probed_and_restored() -> None:
    fleet = make_fleet()
    send_requests(fleet, {0: OutcomeKind.FAILED})
    fleet.timers.skip(1.4)
    assert send_requests(fleet, {})[key(0)] == 0
    fleet.timers.skip(1)
    assert send_requests(fleet, {})[key(0)] > 20


def test_ejections_grow_with_single_request_probes() -> None:
    fleet = make_fleet()
    send_requests(fleet, {0: OutcomeKind.FAILED})
    probes = []
    for _ in range(60):
        fleet.timers.skip(1)
        probes.append(
            send_requests(fleet, {0: OutcomeKind.FAILED}, times=5)[key(0)]
        )
    assert max(probes) == 1
    assert 3 <= sum(probes) <= 6


def test_no_second_probe_while_one_is_running() -> None:
    fleet = make_fleet()
    send_requests(fleet, {0: OutcomeKind.FAILED})
    fleet.timers.skip(5)
    first = fleet.chooser.choose(GROUP, GROUP_SPEC)
    assert first.key == key(0)
    assert key(0) not in count_choices(fleet)


def test_request_that_may_not_probe_avoids_ejected_target() -> None:
    fleet = make_fleet()
    send_requests(fleet, {0: OutcomeKind.FAILED})
    fleet.timers.skip(5)
    for _ in range(50):
        chosen = fleet.chooser.choose(GROUP, GROUP_SPEC, may_probe=False)
        assert chosen.key != key(0)


@pytest.mark.parametrize(
    ('percent', 'expected'),
    [(0, 0), (20, 0), (25, 1), (50, 2), (74, 2), (75, 3)],
)
def test_ejections_stay_within_cap(
    percent: int,
    expected: int,
) -> None:
    fleet = make_fleet()
    group = TargetGroup(max_ejected_percent=percent)
    failing = dict.fromkeys(range(4), OutcomeKind.FAILED)
    send_requests(fleet, failing, group=group)
    assert 4 - len(send_requests(fleet, failing, group=group)) == expected


def test_panic_uses_all_targets_and_restores_answering_ones() -> None:
    fleet = make_fleet()
    group = TargetGroup(max_ejected_percent=100)
    failing = dict.fromkeys(range(4), OutcomeKind.FAILED)
    send_requests(fleet, failing, group=group)
    assert len(count_choices(fleet, group)) == 4
    failing.pop(0)
    sent = send_requests(fleet, failing, group=group, times=400)
    assert sent[key(0)] > 300


def test_target_failing_half_of_its_requests_is_ejected() -> None:
    fleet = make_fleet()
    kinds = [OutcomeKind.FAILED, OutcomeKind.ANSWERED]
    for turn in range(400):
        chosen = fleet.chooser.choose(GROUP, GROUP_SPEC)
        kind = kinds[turn % 2] if chosen.key == key(0) else kinds[1]
        fleet.note(chosen, kind)
    assert count_choices(fleet)[key(0)] == 0


def test_refused_and_abandoned_requests_cause_no_ejection() -> None:
    fleet = make_fleet()
    for kind in (OutcomeKind.REFUSED, OutcomeKind.ABANDONED):
        send_requests(fleet, dict.fromkeys(range(4), kind))
    assert len(count_choices(fleet)) == 4


def test_short_absence_keeps_ejection() -> None:
    fleet = make_fleet()
    send_requests(fleet, {0: OutcomeKind.FAILED})
    pairs = fleet.view.pairs
    fleet.view.pairs = pairs[1:]
    count_choices(fleet, times=10)
    fleet.view.pairs = pairs
    assert count_choices(fleet)[key(0)] == 0


def test_outcomes_of_unknown_targets_are_ignored() -> None:
    fleet = make_fleet()
    chosen = fleet.chooser.choose(GROUP, GROUP_SPEC)
    fleet.view.pairs = ()
    fleet.note(chosen, OutcomeKind.FAILED)
    fleet.note(chosen, OutcomeKind.FAILED)
    assert choose(fleet) is None
