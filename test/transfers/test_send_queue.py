"""Test the queue of the bodies that one daemon sends."""

import attrs
import pytest

from goldcrestwharf.transfers import (
    OutgoingTransfer,
    SendQueue,
    TransferRank,
)

RATE = 625_000
WINDOW = 15_000
BODY = 60_000


@attrs.define(eq=False)
class FakeChannel:
    unsent: int = 0

    def count_unsent(self) -> int:
        return self.unsent


class Sender:
    def __init__(self) -> None:
        self.now: float = 0
        self.sent: list[str] = []
        self.queue = SendQueue(link_rate=RATE, clock=lambda: self.now)

    def add(
        self,
        name: str,
        channel: FakeChannel,
        rank: TransferRank = (0, 1),
        granted: int = BODY,
    ) -> OutgoingTransfer:
        def send(start: int, end: int) -> None:
            self.sent.append(name)
            channel.unsent += end - start

        transfer = OutgoingTransfer(
            size=BODY, rank=rank, channel=channel, send=send, granted=granted
        )
        self.queue.add(transfer)
        return transfer

    def pump(self, passed: float = 0) -> float | None:
        self.now += passed
        return self.queue.pump()


def test_no_more_than_a_window_is_written_ahead_over_all_channels() -> None:
    """A ping on any stream waits in the kernel behind a window at most."""
    sender = Sender()
    channels = [FakeChannel() for _ in range(4)]
    for channel in channels:
        sender.add('a', channel)
    for _ in range(20):
        sender.pump(0.005)
    assert 0 < sum(channel.unsent for channel in channels) <= WINDOW


def test_nothing_is_sent_without_a_grant() -> None:
    sender = Sender()
    sender.add('a', FakeChannel(), granted=0)
    assert sender.pump(1) is None
    assert not sender.sent


def test_bodies_keep_to_the_rate_of_the_link_less_a_twentieth() -> None:
    sender = Sender()
    channel = FakeChannel()
    transfers = [sender.add('a', channel) for _ in range(10)]
    for _ in range(100):
        sender.pump(0.005)
        channel.unsent = 0
    sent = sum(transfer.sent for transfer in transfers)
    assert sent == pytest.approx(0.95 * RATE * 0.5, rel=0.06)


def test_urgent_body_is_sent_before_earlier_ones() -> None:
    sender = Sender()
    channel = FakeChannel()
    sender.add('late', channel, rank=(1, 1))
    sender.add('urgent', channel, rank=(0, 5))
    sender.pump()
    assert set(sender.sent) == {'urgent'}


def test_silent_channel_does_not_block_others() -> None:
    sender = Sender()
    silent, other = FakeChannel(), FakeChannel()
    sender.add('silent', silent, rank=(0, 1))
    sender.add('other', other, rank=(0, 2))
    for _ in range(100):
        sender.pump(0.005)
        other.unsent = 0
    assert sender.sent.count('silent') * 4096 <= WINDOW
    assert 'other' in sender.sent
    # It goes on once its bytes are acknowledged.
    silent.unsent = 0
    for _ in range(10):
        sender.pump(0.005)
        silent.unsent = 0
    assert sender.sent[-1] == 'silent'


def test_removed_body_is_not_sent_any_further() -> None:
    sender = Sender()
    channel = FakeChannel()
    transfer = sender.add('a', channel)
    sender.pump()
    pieces = len(sender.sent)
    sender.queue.remove(transfer)
    channel.unsent = 0
    sender.pump(1)
    assert len(sender.sent) == pieces
    assert not sender.queue.backlog
