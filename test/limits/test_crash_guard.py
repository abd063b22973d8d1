import random

import pytest

from goldcrestwharf.limits import (
    CrashGuard,
    CrashRank,
    CrashVerdict,
    LimitSettings,
    RefusalReason,
    fingerprint_of,
)
from goldcrestwharf.timers import ManualTimers
from goldcrestwharf.wire import decode, encode

KILLER = 'k' * 32
INNOCENT = 'i' * 32


def make_guard(timers: ManualTimers, seed: int = 1) -> CrashGuard:
    return CrashGuard(
        cfg=LimitSettings(crash_table_size=64),
        timers=timers,
        rng=random.Random(seed),
    )


def gossip(source: CrashGuard, *guards: CrashGuard) -> None:
    """Send the source's updates to the others, as the wire carries them."""
    for verdict in source.book.take_updates():
        for guard in guards:
            guard.merge(decode(encode(verdict)))


def refused(guard: CrashGuard) -> set[str]:
    return {one for one in (KILLER, INNOCENT) if guard.verdict(one)}


def test_the_second_death_stops_a_request() -> None:
    guard = make_guard(ManualTimers())
    guard.note_death([KILLER])
    assert guard.verdict(KILLER) is None
    guard.note_death([KILLER])
    refusal = guard.verdict(KILLER)
    assert refusal is not None
    assert refusal.reason is RefusalReason.KILLS_TARGETS
    assert refusal.retry_after == 1800


def test_a_death_is_counted_once_however_often_it_is_told() -> None:
    guards = [make_guard(ManualTimers(), seed) for seed in (1, 2)]
    guards[0].note_death([KILLER, KILLER])
    told = guards[0].book.take_updates()
    for verdict in told * 5:
        guards[1].merge(verdict)
    gossip(guards[1], guards[0])
    assert not refused(guards[0]) | refused(guards[1])


async def test_deaths_on_two_vms_stop_it_everywhere() -> None:
    timers = ManualTimers()
    guards = [make_guard(timers, seed) for seed in (1, 2, 3)]
    guards[0].note_death([KILLER])
    guards[1].note_death([KILLER])
    gossip(guards[0], guards[1], guards[2])
    gossip(guards[1], guards[0], guards[2])
    assert all(refused(guard) == {KILLER} for guard in guards)
    await timers.advance(6)
    waits = {guard.verdict(KILLER).retry_after for guard in guards}
    assert waits == {1800}


async def test_an_innocent_in_flight_is_not_blamed_for_good() -> None:
    timers = ManualTimers()
    guard = make_guard(timers)
    guard.note_death([KILLER, INNOCENT])
    guard.note_death([KILLER, INNOCENT])
    assert refused(guard) == {KILLER, INNOCENT}
    await timers.advance(31)
    assert refused(guard) == set()
    guard.note_completed(INNOCENT)
    guard.note_death([KILLER])
    assert refused(guard) == {KILLER}
    assert guard.verdict(KILLER).retry_after == 1800


def test_a_request_that_completes_in_between_is_cleared() -> None:
    guard = make_guard(ManualTimers())
    guard.note_death([KILLER, INNOCENT])
    guard.note_completed(INNOCENT)
    guard.note_death([KILLER, INNOCENT])
    assert refused(guard) == {KILLER}


async def test_a_completion_elsewhere_ends_the_doubt() -> None:
    timers = ManualTimers()
    guards = [make_guard(timers, seed) for seed in (1, 2)]
    guards[0].note_death([KILLER, INNOCENT])
    guards[0].note_death([KILLER, INNOCENT])
    gossip(guards[0], guards[1])
    guards[1].note_completed(INNOCENT)
    gossip(guards[1], guards[0])
    assert refused(guards[0]) == {KILLER}
    await timers.advance(6)
    assert guards[0].verdict(KILLER).retry_after == 1800


def test_lifting_wins_over_stale_gossip() -> None:
    guards = [make_guard(ManualTimers(), seed) for seed in (1, 2)]
    for _ in range(2):
        guards[0].note_death([KILLER])
    stale = guards[0].book.verdicts()
    gossip(guards[0], guards[1])
    guards[1].lift(KILLER)
    gossip(guards[1], guards[0])
    for verdict in stale:
        assert not guards[0].merge(verdict)
        assert not guards[1].merge(verdict)
    assert not refused(guards[0]) | refused(guards[1])


def test_a_lifted_request_that_kills_again_is_stopped_again() -> None:
    guard = make_guard(ManualTimers())
    for _ in range(2):
        guard.note_death([KILLER])
    guard.lift(KILLER)
    guard.note_death([KILLER])
    assert refused(guard) == set()
    guard.note_death([KILLER])
    assert refused(guard) == {KILLER}


class Clock(ManualTimers):
    """Advance without an event loop."""

    def skip(self, seconds: float) -> None:
        self._now += seconds


@pytest.mark.parametrize('rounds', [30, 60, 1800])
def test_a_verdict_expires_although_it_is_gossiped_on(rounds: int) -> None:
    timers = Clock()
    guards = [make_guard(timers, seed) for seed in (1, 2)]
    for _ in range(2):
        guards[0].note_death([KILLER])
    for _ in range(rounds + 2):
        told = [guard.book.verdicts() for guard in guards]
        timers.skip(1800 / rounds)
        for verdict in told[0]:
            guards[1].merge(verdict)
        for answer in told[1]:
            guards[0].merge(answer)
    assert refused(guards[0]) | refused(guards[1]) == set()


def test_an_expired_death_does_not_count() -> None:
    timers = Clock()
    guard = make_guard(timers)
    guard.note_death([KILLER])
    timers.skip(601)
    guard.note_death([KILLER])
    assert guard.verdict(KILLER) is None


def test_a_peer_cant_refuse_for_longer_than_the_settings_allow() -> None:
    guard = make_guard(ManualTimers())
    guard.merge(
        CrashVerdict(
            fingerprint=KILLER,
            edition=0,
            deaths=('a', 'b'),
            rank=CrashRank.CERTAIN,
            refused_ms=10**12,
            ttl_ms=10**12,
        ),
    )
    assert guard.verdict(KILLER).retry_after == 1800


def test_the_table_is_bounded_and_keeps_what_is_refused() -> None:
    guard = make_guard(ManualTimers())
    for _ in range(2):
        guard.note_death([KILLER])
    for number in range(200):
        guard.note_death([f'other-{number}'])
    assert len(guard.book.verdicts()) == 64
    assert refused(guard) == {KILLER}


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


async def test_a_request_that_completes_elsewhere_is_cleared() -> None:
    timers = ManualTimers()
    guards = [make_guard(timers, seed) for seed in (1, 2, 3)]
    guards[2].note_completed(INNOCENT)
    for dying in guards[:2]:
        dying.note_death([INNOCENT])
    gossip(guards[0], guards[2])
    gossip(guards[1], guards[2])
    gossip(guards[2], *guards[:2])
    assert not any(refused(guard) for guard in guards)


async def test_a_completion_of_long_ago_clears_nothing() -> None:
    timers = ManualTimers()
    guards = [make_guard(timers, seed) for seed in (1, 2)]
    guards[1].note_completed(KILLER)
    await timers.advance(60)
    guards[0].note_death([KILLER])
    guards[0].note_death([KILLER])
    gossip(guards[0], guards[1])
    assert refused(guards[1]) == {KILLER}


async def test_daemons_that_agree_have_no_news_for_each_other() -> None:
    timers = ManualTimers()
    guards = [make_guard(timers, seed) for seed in (1, 2)]
    guards[0].note_death([KILLER])
    guards[0].note_death([KILLER])
    gossip(guards[0], guards[1])
    news: list[bool] = []
    for turn in range(40):
        await timers.advance(0.2003)
        teller, hearer = guards[turn % 2], guards[(turn + 1) % 2]
        teller.book.take_updates()
        news.extend(
            hearer.merge(decode(encode(verdict)))
            for verdict in teller.book.verdicts()
        )
    assert not any(news)
    assert refused(guards[1]) == {KILLER}
