"""Test the grants of one receiver over all its senders."""

import pytest

from goldcrestwharf.transfers import (
    PIECE_BYTES,
    GrantScheduler,
    IncomingTransfer,
    TransferRank,
)

RATE = 625_000
WINDOW = 15_000
BODY = 60_000
ROUND_TRIP_S = 0.002
EXPIRY_S = 0.1


class Receiver:
    def __init__(self, rate: float = RATE) -> None:
        self.now: float = 0
        self.offsets: dict[str, int] = {}
        self.grants = GrantScheduler(link_rate=rate, clock=lambda: self.now)

    def add(
        self, name: str, rank: TransferRank = (0, 1), size: int = BODY
    ) -> IncomingTransfer:
        self.offsets[name] = 0
        transfer = IncomingTransfer(
            size=size,
            rank=rank,
            grant=lambda offset: self.offsets.update({name: offset}),
        )
        self.grants.add(transfer)
        return transfer

    def pump(self, passed: float = 0) -> None:
        self.now += passed
        self.grants.pump()

    def receive_granted(self, transfer: IncomingTransfer) -> None:
        """Receive all that was granted, as from a sender without delay."""
        self.grants.record(transfer, transfer.granted - transfer.received)


def test_no_more_than_a_window_is_granted_over_all_senders() -> None:
    receiver = Receiver()
    for name in 'abcdefgh':
        receiver.add(name)
    receiver.pump()
    receiver.pump(0.05)
    granted = sum(receiver.offsets.values())
    assert WINDOW - PIECE_BYTES < granted <= WINDOW
    # Several pieces ahead, so that a round trip doesn't leave the link idle.
    assert granted >= 3 * PIECE_BYTES


def test_grants_keep_to_the_rate_of_the_link_less_a_twentieth() -> None:
    receiver = Receiver()
    transfer = receiver.add('a', size=10 * RATE)
    for _ in range(500):
        receiver.pump(ROUND_TRIP_S)
        receiver.receive_granted(transfer)
    assert transfer.received == pytest.approx(0.95 * RATE, rel=0.05)


def test_urgent_body_is_granted_before_earlier_ones() -> None:
    receiver = Receiver()
    first = receiver.add('late', rank=(1, 0.5))
    receiver.pump()
    receiver.add('urgent', rank=(0, 2))
    receiver.add('soon', rank=(1, 0.4))
    before = first.granted
    receiver.receive_granted(first)
    receiver.pump(0.03)
    assert receiver.offsets['urgent'] > 0
    assert not receiver.offsets['soon']
    assert first.granted == before


def test_sender_that_leaves_its_grants_unused_does_not_block_others() -> None:
    receiver = Receiver()
    silent = receiver.add('silent', rank=(0, 1))
    other = receiver.add('other', rank=(0, 2))
    receiver.pump()
    assert not other.granted
    receiver.pump(EXPIRY_S)
    assert other.granted
    unused = silent.granted
    receiver.receive_granted(other)
    receiver.pump(EXPIRY_S)
    assert silent.granted == unused
    # It goes on once it has sent what it was granted.
    receiver.receive_granted(silent)
    receiver.receive_granted(other)
    receiver.pump(EXPIRY_S)
    assert silent.granted > unused


def test_expected_time_counts_bodies_of_the_same_rank_and_before() -> None:
    receiver = Receiver()
    receiver.add('before', rank=(0, 1))
    receiver.add('after', rank=(2, 1))
    expected = 2 * BODY / (0.95 * RATE)
    assert receiver.grants.find_time(BODY, (1, 0)) == pytest.approx(expected)


def test_body_of_a_cancelled_attempt_frees_its_share_of_the_window() -> None:
    receiver = Receiver()
    cancelled = receiver.add('cancelled', rank=(0, 1))
    receiver.pump()
    other = receiver.add('other', rank=(0, 2))
    receiver.grants.remove(cancelled)
    receiver.pump(0.03)
    assert other.granted


def test_link_of_unknown_rate_is_granted_whole_bodies() -> None:
    receiver = Receiver(rate=float('inf'))
    transfer = receiver.add('a')
    receiver.pump()
    assert transfer.granted == BODY
    assert not receiver.grants.find_time(BODY, (0, 1))
