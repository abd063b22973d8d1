"""Compare the rules by which ten senders share the link of one receiver.

Load: for 40 s, ten senders upload bodies of 60 KB to one receiver on 5 Mbit/s,
at random times and at 0.9 of the link together, and 40 short messages of
600 bytes a second arrive beside them.
"""

from collections.abc import Callable
from functools import partial

from goldcrestwharf.transfers import (
    PIECE_BYTES,
    GrantScheduler,
    IncomingTransfer,
    OutgoingTransfer,
    SendQueue,
)
from test.helper import make_rng
from test.transfers.link_model import Link, Pump, Waits, find_quantile

LINK_RATE = 625_000
LATENCY_S = 0.0009
BODY_BYTES = 60_000
SHORT_BYTES = 600
SENDERS = 10
DURATION_S = 40
BODIES_PER_S = 0.9 * LINK_RATE / BODY_BYTES
SHORT_PER_S = 40

#: Time that an upload has left for its transfer: its deadline of 2,784 ms
#: less 300 ms at the target.
TIME_LEFT_S = 2.48

#: Starts the upload of a sender.
Upload = Callable[[int], None]


def run_load(link: Link, waits: Waits, upload: Upload) -> Waits:
    rng = make_rng()
    due: float = 0
    while due < DURATION_S:
        due += rng.expovariate(BODIES_PER_S)
        link.at(due, partial(upload, rng.randrange(SENDERS)))
    due = 0
    while due < DURATION_S:
        due += rng.expovariate(SHORT_PER_S)
        link.at(due, partial(send_short, link, waits))
    link.run(DURATION_S + 10)
    return waits


def send_short(link: Link, waits: Waits) -> None:
    began_at = link.now
    link.carry(SHORT_BYTES, lambda: waits.short.append(link.now - began_at))


def run_whole_bodies() -> Waits:
    """The earlier rule: whole bodies, first come, first served."""
    link, waits = Link(rate=LINK_RATE, latency=LATENCY_S), Waits()

    def upload(sender: int) -> None:
        began_at = link.now
        link.carry(BODY_BYTES, lambda: waits.bodies.append(link.now - began_at))

    return run_load(link, waits, upload)


def run_pieces_without_grants() -> Waits:
    """The naive rule: pieces at the pace of each sender's own link."""
    link, waits = Link(rate=LINK_RATE, latency=LATENCY_S), Waits()

    def send(began_at: float, sent: int) -> None:
        size = min(PIECE_BYTES, BODY_BYTES - sent)
        end = sent + size
        if end == BODY_BYTES:
            link.carry(size, lambda: waits.bodies.append(link.now - began_at))
        else:
            link.carry(size, lambda: None)
            link.after(size / LINK_RATE, lambda: send(began_at, end))

    return run_load(link, waits, lambda sender: send(link.now, 0))


class IdleChannel:
    """Connection whose bytes leave at once, as the sender's link is free."""

    def count_unsent(self) -> int:
        return 0


class GrantedUploads:
    """Uploads by the decisions of the package."""

    def __init__(self) -> None:
        self.link = Link(rate=LINK_RATE, latency=LATENCY_S)
        self.waits = Waits()
        self.grants = GrantScheduler(
            link_rate=LINK_RATE, clock=lambda: self.link.now
        )
        self.queues = [self._make_queue() for _ in range(SENDERS)]
        self.granting = Pump(self.link, self.grants.pump)
        self.sending = [Pump(self.link, queue.pump) for queue in self.queues]

    def upload(self, sender: int) -> None:
        began_at = self.link.now
        rank = (0, began_at + TIME_LEFT_S)
        if self.grants.find_time(BODY_BYTES, rank) > TIME_LEFT_S:
            self.waits.refused += 1
            return

        def apply(offset: int) -> None:
            outgoing.granted = offset
            self.sending[sender].run()

        def receive(size: int) -> None:
            self.grants.record(incoming, size)
            if incoming.received == incoming.size:
                self.waits.bodies.append(self.link.now - began_at)
            self.granting.run()

        incoming = IncomingTransfer(
            size=BODY_BYTES,
            rank=rank,
            grant=lambda offset: self.link.after(
                LATENCY_S, lambda: apply(offset)
            ),
        )
        outgoing = OutgoingTransfer(
            size=BODY_BYTES,
            rank=rank,
            channel=IdleChannel(),
            send=lambda start, end: self.link.carry(
                end - start, lambda: receive(end - start)
            ),
        )
        self.queues[sender].add(outgoing)
        self.grants.add(incoming)
        self.granting.run()

    def _make_queue(self) -> SendQueue:
        return SendQueue(link_rate=LINK_RATE, clock=lambda: self.link.now)


def run_granted_pieces() -> Waits:
    uploads = GrantedUploads()
    return run_load(uploads.link, uploads.waits, uploads.upload)


def test_short_messages_wait_for_one_window_at_most() -> None:
    granted = run_granted_pieces()
    whole = run_whole_bodies()
    naive = run_pieces_without_grants()
    # A window of bodies, a piece, and other short messages.
    assert max(granted.short) < 0.035
    assert find_quantile(whole.short, 0.5) > 10 * max(granted.short)
    assert find_quantile(naive.short, 0.5) > 10 * max(granted.short)


def test_accepted_uploads_arrive_in_time_at_the_rate_that_bodies_may_use() -> (
    None
):
    granted = run_granted_pieces()
    assert max(granted.bodies) < TIME_LEFT_S + 0.1
    arrived = len(granted.bodies) * BODY_BYTES / DURATION_S
    assert arrived > 0.85 * LINK_RATE
    # Bodies may use 0.95 of the link, and the load is 0.9 of it.
    offered = len(granted.bodies) + granted.refused
    assert granted.refused < 0.02 * offered
