import random

import pytest

from goldcrestwharf.distribution._crash_reports import CrashReports
from goldcrestwharf.limits import LimitSettings
from goldcrestwharf.quarantine import (
    CrashGuard,
    CrashRank,
    CrashReport,
    fingerprint_of,
)
from goldcrestwharf.timers import ManualTimers
from goldcrestwharf.wire import decode, encode

CRASHING = 'k' * 32
UNRELATED = 'i' * 32


def make_guard(timers: ManualTimers, seed: int = 1) -> CrashGuard:
    return CrashGuard(
        cfg=LimitSettings(crash_table_size=64),
        clock=timers.now,
        rng=random.Random(seed),
    )


def send(report: CrashReport) -> CrashReport:
    """Encode and decode a report as daemons do."""
    encoded = encode(CrashReports(verdicts=(report,)))
    received: CrashReport = decode(encoded).verdicts[0]
    return received


def gossip(source: CrashGuard, *guards: CrashGuard) -> None:
    """Merge the encoded updates of ``source`` into ``guards``."""
    for report in source.table.take_updates():
        for guard in guards:
            guard.merge(send(report))


def refused(guard: CrashGuard) -> set[str]:
    return {one for one in (CRASHING, UNRELATED) if guard.find_wait(one)}


def test_second_death_quarantines_request() -> None:
    guard = make_guard(ManualTimers())
    guard.record_death([CRASHING])
    assert not guard.find_wait(CRASHING)
    guard.record_death([CRASHING])
    assert guard.find_wait(CRASHING) == 1800


def test_death_is_counted_once_however_often_reported() -> None:
    guards = [make_guard(ManualTimers(), seed) for seed in (1, 2)]
    guards[0].record_death([CRASHING, CRASHING])
    reports = guards[0].table.take_updates()
    for report in reports * 5:
        guards[1].merge(report)
    gossip(guards[1], guards[0])
    assert not refused(guards[0]) | refused(guards[1])


async def test_deaths_on_two_vms_quarantine_on_all_daemons() -> None:
    timers = ManualTimers()
    guards = [make_guard(timers, seed) for seed in (1, 2, 3)]
    guards[0].record_death([CRASHING])
    guards[1].record_death([CRASHING])
    gossip(guards[0], guards[1], guards[2])
    gossip(guards[1], guards[0], guards[2])
    assert all(refused(guard) == {CRASHING} for guard in guards)
    await timers.advance(6)
    waits = {guard.find_wait(CRASHING) for guard in guards}
    assert waits == {1800}


async def test_unrelated_request_in_flight_is_refused_only_briefly() -> None:
    timers = ManualTimers()
    guard = make_guard(timers)
    guard.record_death([CRASHING, UNRELATED])
    guard.record_death([CRASHING, UNRELATED])
    assert refused(guard) == {CRASHING, UNRELATED}
    await timers.advance(31)
    assert refused(guard) == set()
    guard.record_completion(UNRELATED)
    guard.record_death([CRASHING])
    assert refused(guard) == {CRASHING}
    assert guard.find_wait(CRASHING) == 1800


def test_completion_between_deaths_clears_request() -> None:
    guard = make_guard(ManualTimers())
    guard.record_death([CRASHING, UNRELATED])
    guard.record_completion(UNRELATED)
    guard.record_death([CRASHING, UNRELATED])
    assert refused(guard) == {CRASHING}


async def test_completion_on_peer_resolves_ambiguity() -> None:
    timers = ManualTimers()
    guards = [make_guard(timers, seed) for seed in (1, 2)]
    guards[0].record_death([CRASHING, UNRELATED])
    guards[0].record_death([CRASHING, UNRELATED])
    gossip(guards[0], guards[1])
    guards[1].record_completion(UNRELATED)
    gossip(guards[1], guards[0])
    assert refused(guards[0]) == {CRASHING}
    await timers.advance(6)
    assert guards[0].find_wait(CRASHING) == 1800


def test_lift_supersedes_stale_gossip() -> None:
    guards = [make_guard(ManualTimers(), seed) for seed in (1, 2)]
    for _ in range(2):
        guards[0].record_death([CRASHING])
    stale = guards[0].table.reports()
    gossip(guards[0], guards[1])
    guards[1].lift(CRASHING)
    gossip(guards[1], guards[0])
    for report in stale:
        assert not guards[0].merge(report)
        assert not guards[1].merge(report)
    assert not refused(guards[0]) | refused(guards[1])


def test_lifted_request_is_quarantined_again_after_new_deaths() -> None:
    guard = make_guard(ManualTimers())
    for _ in range(2):
        guard.record_death([CRASHING])
    guard.lift(CRASHING)
    guard.record_death([CRASHING])
    assert refused(guard) == set()
    guard.record_death([CRASHING])
    assert refused(guard) == {CRASHING}


class Clock(ManualTimers):
    """Manual timers that advance without an event loop."""

    def skip(self, seconds: float) -> None:
        self._now += seconds


@pytest.mark.parametrize('rounds', [30, 60, 1800])
def test_quarantine_expires_despite_continued_gossip(rounds: int) -> None:
    timers = Clock()
    guards = [make_guard(timers, seed) for seed in (1, 2)]
    for _ in range(2):
        guards[0].record_death([CRASHING])
    for _ in range(rounds + 2):
        reports = [guard.table.reports() for guard in guards]
        timers.skip(1800 / rounds)
        for report in reports[0]:
            guards[1].merge(report)
        for answer in reports[1]:
            guards[0].merge(answer)
    assert refused(guards[0]) | refused(guards[1]) == set()


def test_expired_death_does_not_count() -> None:
    timers = Clock()
    guard = make_guard(timers)
    guard.record_death([CRASHING])
    timers.skip(601)
    guard.record_death([CRASHING])
    assert not guard.find_wait(CRASHING)


def test_reported_quarantine_is_capped_by_settings() -> None:
    guard = make_guard(ManualTimers())
    guard.merge(
        CrashReport(
            fingerprint=CRASHING,
            edition=0,
            deaths=('a', 'b'),
            rank=CrashRank.CONFIRMED,
            refused_ms=10**12,
            ttl_ms=10**12,
        ),
    )
    assert guard.find_wait(CRASHING) == 1800


def test_full_table_keeps_quarantined_requests() -> None:
    guard = make_guard(ManualTimers())
    for _ in range(2):
        guard.record_death([CRASHING])
    for number in range(200):
        guard.record_death([f'other-{number}'])
    assert len(guard.table.reports()) == 64
    assert refused(guard) == {CRASHING}


def test_full_table_keeps_suspects_of_several_crashes() -> None:
    timers = Clock()
    guard = CrashGuard(
        cfg=LimitSettings(crash_table_size=64, crash_deaths=3),
        clock=timers.now,
        rng=random.Random(1),
    )
    for crash in range(3):
        others = [f'{number}-{crash}' for number in range(50)]
        guard.record_death([CRASHING, *others])
        for answered in others:
            guard.record_completion(answered)
        timers.skip(1)
    assert refused(guard) == {CRASHING}


@pytest.mark.parametrize(
    ('left', 'right'),
    [
        (('GET', 'a', '/b', b''), ('GET', 'a', '/', b'b')),
        (('GET', 'a', '/b', b''), ('POST', 'a', '/b', b'')),
        (('GET', 'a', '/b', b''), ('GET', 'a/', 'b', b'')),
    ],
)
def test_different_requests_have_different_fingerprints(
    left: tuple[str, str, str, bytes],
    right: tuple[str, str, str, bytes],
) -> None:
    assert fingerprint_of(*left) != fingerprint_of(*right)
    assert fingerprint_of('GET', 'A', '/', b'') == fingerprint_of(
        'GET',
        'a',
        '/',
        b'',
    )


async def test_completion_on_peer_clears_request() -> None:
    timers = ManualTimers()
    guards = [make_guard(timers, seed) for seed in (1, 2, 3)]
    guards[2].record_completion(UNRELATED)
    for dying in guards[:2]:
        dying.record_death([UNRELATED])
    gossip(guards[0], guards[2])
    gossip(guards[1], guards[2])
    gossip(guards[2], *guards[:2])
    assert not any(refused(guard) for guard in guards)


async def test_old_completion_does_not_clear_request() -> None:
    timers = ManualTimers()
    guards = [make_guard(timers, seed) for seed in (1, 2)]
    guards[1].record_completion(CRASHING)
    await timers.advance(60)
    guards[0].record_death([CRASHING])
    guards[0].record_death([CRASHING])
    gossip(guards[0], guards[1])
    assert refused(guards[1]) == {CRASHING}


async def test_daemons_in_agreement_exchange_no_updates() -> None:
    timers = ManualTimers()
    guards = [make_guard(timers, seed) for seed in (1, 2)]
    guards[0].record_death([CRASHING])
    guards[0].record_death([CRASHING])
    gossip(guards[0], guards[1])
    updates: list[bool] = []
    for turn in range(40):
        await timers.advance(0.2003)
        sender, receiver = guards[turn % 2], guards[(turn + 1) % 2]
        sender.table.take_updates()
        updates.extend(
            receiver.merge(send(report)) for report in sender.table.reports()
        )
    assert not any(updates)
    assert refused(guards[1]) == {CRASHING}


@pytest.mark.parametrize('suspects', [(CRASHING,), (CRASHING, UNRELATED)])
def test_one_daemon_tries_a_request_after_its_quarantine(
    suspects: tuple[str, ...],
) -> None:
    timers = Clock()
    guards = [make_guard(timers, seed) for seed in range(6)]
    for _ in range(2):
        guards[0].record_death(suspects)
    gossip(guards[0], *guards[1:])
    timers.skip(guards[0].find_wait(CRASHING))
    assert not guards[5].find_wait(CRASHING)
    while all(guard.find_trial_wait(CRASHING) for guard in guards):
        timers.skip(0.1)
    first = min(guards, key=lambda guard: guard.find_trial_wait(CRASHING))
    assert first.begin_trial(CRASHING)
    gossip(first, *guards)
    assert min(guard.find_trial_wait(CRASHING) for guard in guards) >= 29
    first.record_death((CRASHING,))
    gossip(first, *guards)
    assert min(guard.find_wait(CRASHING) for guard in guards) > 1700


def test_request_that_shared_the_crashes_is_served_after_its_trial() -> None:
    timers = Clock()
    guards = [make_guard(timers, seed) for seed in range(6)]
    for _ in range(2):
        guards[0].record_death((CRASHING, UNRELATED))
    gossip(guards[0], *guards[1:])
    timers.skip(60)
    assert guards[3].begin_trial(UNRELATED)
    gossip(guards[3], *guards)
    guards[3].record_completion(UNRELATED)
    gossip(guards[3], *guards)
    assert not any(guard.find_trial_wait(UNRELATED) for guard in guards)
    assert all(guard.find_wait(CRASHING) for guard in guards)


def test_request_without_crashes_needs_no_trial() -> None:
    guard = make_guard(ManualTimers())
    guard.record_death((UNRELATED,))
    assert not guard.find_trial_wait(UNRELATED)
    assert not guard.begin_trial(UNRELATED)
    assert not guard.begin_trial(CRASHING)


async def test_guard_has_no_suspects_once_all_completed_or_expired() -> None:
    timers = ManualTimers()
    guard = make_guard(timers)
    assert not guard.has_suspects
    guard.record_death([CRASHING, UNRELATED])
    assert guard.has_suspects
    guard.record_completion(UNRELATED)
    assert guard.has_suspects
    guard.record_completion(CRASHING)
    assert not guard.has_suspects
    guard.record_death([CRASHING])
    assert guard.has_suspects
    await timers.advance(601)
    assert not guard.has_suspects


def test_guard_with_a_full_table_still_has_suspects() -> None:
    guard = make_guard(ManualTimers())
    for number in range(100):
        guard.record_death([str(number)])
    for number in range(50, 100):
        guard.record_completion(str(number))
    assert guard.has_suspects
