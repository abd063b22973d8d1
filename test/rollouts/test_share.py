"""Check which version an entry sends its requests to."""

import random

import attrs

from goldcrestwharf.rollouts import MAX_LEASE_S, Phase
from test.helper import make_rng
from test.rollouts.helper import (
    Clock,
    Entry,
    FakeTarget,
    is_new,
    is_old,
    make_state,
    make_targets,
)


def open_trial(old: int = 12, new: int = 12) -> tuple[Entry, list[FakeTarget]]:
    """Return an entry in a trial that knew the old targets before."""
    targets = make_targets(old, new)
    entry = Entry(Clock(), make_rng())
    entry.select(targets[:old])
    entry.hear(make_state(entry.clock))
    return entry, targets


def test_exposure_of_many_quiet_entries_stays_within_the_share() -> None:
    """Load: 78 entries with 6 requests each, 12 targets of each version."""
    rng = make_rng()
    targets = make_targets(12, 12)
    total, exposed, unlimited, eager = 0, 0, 0, 0
    for _ in range(78):
        entry = Entry(Clock(), rng)
        entry.select(targets[:12])
        entry.hear(make_state(entry.clock))
        for number in range(6):
            total += 1
            exposed += entry.send(targets)
            # The earlier rule chooses among all targets alike.
            unlimited += rng.choice(targets).version == 'v2'
            # A naive rule sends each entry's first request as a probe.
            eager += number % 12 == 0
    assert 0.05 * total < exposed <= 0.1 * total
    assert unlimited > 0.4 * total
    assert eager > 0.15 * total


def test_requests_that_are_refused_earn_no_exposure() -> None:
    """Load: ten times what the targets run, so nine of ten are refused."""
    entry, targets = open_trial()
    exposed, naive = 0, 0
    for number in range(1000):
        exposed += is_new(entry.select(targets))
        naive += number % 12 == 0
        if number % 10 == 0:
            entry.share.record_run('kitchen')
    assert exposed <= 0.1 * 100
    assert naive > 0.5 * 100


def test_trial_uses_the_same_few_targets_everywhere() -> None:
    """Guards against a load so thin that faults under load stay hidden."""
    chosen = set()
    for seed in range(20):
        entry, targets = open_trial(old=30, new=30)
        random.Random(seed).shuffle(targets)
        for _ in range(50):
            chosen.update(
                one for one in entry.select(targets) if one.startswith('new')
            )
            entry.share.record_run('kitchen')
    assert len(chosen) == 3


def test_rotation_takes_other_targets() -> None:
    """Guards against one slow machine that stands for the version."""
    entry, targets = open_trial()
    seen = set()
    for rotation in range(3):
        state = entry.table.find('kitchen')
        assert state is not None
        entry.hear(attrs.evolve(state, rotation=rotation))
        for _ in range(50):
            seen.update(
                one for one in entry.select(targets) if one.startswith('new')
            )
            entry.share.record_run('kitchen')
    assert len(seen) == 3


def test_tried_and_unfit_targets_are_left_out() -> None:
    """Guards against a retry at the same target of the trial."""
    entry, targets = open_trial(old=12, new=2)
    targets[-1].is_draining = True
    for _ in range(60):
        entry.share.record_run('kitchen')
    assert entry.select(targets) == ['new-0']
    assert is_old(
        [
            one.daemon
            for one in entry.share.select('kitchen', targets, {'new-0'})
        ]
    )


def test_late_targets_are_not_flooded() -> None:
    """Load: 78 entries with 100 requests each before the first new target.

    A naive rule lets each entry send at once what it has saved up.
    """
    rng = make_rng()
    targets = make_targets(12, 12)
    first = 0
    for _ in range(78):
        entry = Entry(Clock(), rng)
        entry.select(targets[:12])
        entry.hear(make_state(entry.clock))
        for _ in range(100):
            entry.send(targets[:12])
        first += entry.send(targets)
    assert first < 78 / 4


def test_silent_controller_ends_the_trial_at_an_entry() -> None:
    """Guards against a zone that is cut off and goes on with a bad version."""
    entry, targets = open_trial()
    entry.clock.now += MAX_LEASE_S + 0.1
    assert not any(entry.send(targets) for _ in range(100))


def test_move_needs_the_controller_while_old_targets_are_there() -> None:
    entry, targets = open_trial()
    state = make_state(entry.clock, Phase.MOVING)
    entry.hear(state)
    assert is_new(entry.select(targets))
    entry.clock.now += MAX_LEASE_S + 0.1
    assert is_old(entry.select(targets))
    # The old targets stopped, but the entry has not heard that yet.
    assert is_new(entry.select(targets[12:]))


def test_ended_orders_need_no_controller() -> None:
    for phase, is_expected in (
        (Phase.COMPLETED, is_new),
        (Phase.ROLLED_BACK, is_old),
    ):
        entry, targets = open_trial()
        entry.hear(make_state(entry.clock, phase))
        entry.clock.now += 60
        assert is_expected(entry.select(targets))


def test_version_that_was_rolled_back_gets_nothing_without_others() -> None:
    entry, targets = open_trial()
    entry.hear(make_state(entry.clock, Phase.ROLLED_BACK))
    assert not entry.select(targets[12:])


def test_new_version_waits_for_its_order() -> None:
    """Guards against exposure before the entry knows the order."""
    targets = make_targets(12, 12)
    entry = Entry(Clock(), make_rng())
    entry.select(targets[:12])
    entry.clock.now += 60
    assert is_old(entry.select(targets))
    entry.clock.now += 1.9
    assert is_old(entry.select(targets))
    entry.hear(make_state(entry.clock))
    entry.clock.now += 10
    assert is_old(entry.select(targets))


def test_new_version_without_an_order_is_released() -> None:
    """Guards against targets that stay unused where nobody gives orders."""
    targets = make_targets(12, 12)
    entry = Entry(Clock(), make_rng())
    entry.select(targets[:12])
    entry.select(targets)
    entry.clock.now += 2
    assert len(entry.select(targets)) == 24


def test_new_version_stays_held_back_where_no_order_can_arrive() -> None:
    targets = make_targets(12, 12)
    entry = Entry(Clock(), make_rng())
    entry.has_contact = False
    entry.select(targets[:12])
    entry.select(targets)
    entry.clock.now += 60
    assert is_old(entry.select(targets))
    # Without other targets the service would be gone.
    assert is_new(entry.select(targets[12:]))


def test_targets_that_are_replaced_by_the_same_version_are_used() -> None:
    """Guards against a normal release that loses capacity."""
    targets = make_targets(6)
    entry = Entry(Clock(), make_rng())
    for number in range(6):
        assert len(entry.select(targets)) == 6
        targets[number] = FakeTarget(
            daemon=f'old-{number}', version='v1', started_ms=50 + number
        )
    assert len(entry.select(targets)) == 6


def test_targets_without_a_version_are_used_as_before() -> None:
    targets = [FakeTarget(daemon=f'old-{one}', version='') for one in range(6)]
    entry = Entry(Clock(), make_rng())
    assert len(entry.select(targets)) == 6


def test_version_that_runs_longest_counts_after_a_restart() -> None:
    """Guards against an entry that reaches a new target first."""
    targets = make_targets(3, 3)
    entry = Entry(Clock(), make_rng())
    entry.select(targets[3:])
    assert is_old(entry.select(targets))
    entry.hear(make_state(entry.clock))
    assert is_old(entry.select(targets))


def test_order_for_the_only_version_changes_nothing() -> None:
    targets = make_targets(0, 4)
    entry = Entry(Clock(), make_rng())
    entry.select(targets)
    entry.clock.now += 60
    entry.hear(make_state(entry.clock))
    assert len(entry.select(targets)) == 4


def test_repeated_order_after_completion_changes_nothing() -> None:
    entry, targets = open_trial()
    entry.hear(make_state(entry.clock, Phase.COMPLETED))
    entry.hear(make_state(entry.clock, offset=8))
    assert len(entry.select(targets[12:])) == 12


def test_version_without_an_order_waits_after_a_first_order() -> None:
    """Guards against a version that no order allows."""
    entry, targets = open_trial()
    entry.hear(make_state(entry.clock, Phase.COMPLETED))
    targets.append(FakeTarget(daemon='other', version='v3', started_ms=99))
    entry.select(targets)
    entry.clock.now += 60
    assert is_new(entry.select(targets))
