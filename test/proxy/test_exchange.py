"""Check from whom a daemon fetches configurations, and when."""

import asyncio

import attrs

from goldcrestwharf.policy import PolicyHolder
from goldcrestwharf.proxy._document_messages import Document, Fetch
from goldcrestwharf.proxy._exchange import Exchange
from test.policy.helper import make_snapshot


@attrs.define(kw_only=True)
class StubPeer:
    name: str = 'peer'
    is_local_zone: bool = True
    sent: list[object] = attrs.field(factory=list)

    def send(self, message: object) -> None:
        self.sent.append(message)


@attrs.define(kw_only=True)
class Side:
    """Hold one daemon's part in the exchange."""

    reads_store: bool = False
    holder: PolicyHolder = attrs.field(factory=PolicyHolder)
    offered: list[bytes] = attrs.field(factory=list)

    def open(self) -> Exchange:
        return Exchange(
            holder=self.holder,
            offer=lambda written, _: self.offered.append(written),
            reads_store=lambda: self.reads_store,
        )


def make_document(side: Side, version: int, base: int = 0) -> Document:
    """Return what a daemon that runs ``version`` sends one on ``base``."""
    other = Side()
    exchange = other.open()
    for known in (base, version):
        if known:
            other.holder.offer(make_snapshot(known))
    document = exchange.find(base)
    assert document is not None
    return document


async def test_follower_asks_a_daemon_of_its_zone_at_once() -> None:
    side, near = Side(), StubPeer()
    exchange = side.open()
    exchange.note_version(near, 4)
    await asyncio.sleep(0.01)
    assert near.sent == [Fetch(version=0)]


async def test_two_readers_that_tell_the_same_are_asked_once() -> None:
    exchange = Side().open()
    peers = [StubPeer(), StubPeer()]
    for peer in peers:
        exchange.note_version(peer, 4)
        await asyncio.sleep(0.01)
    assert [len(peer.sent) for peer in peers] == [1, 0]


async def test_reader_leaves_a_version_to_the_store_for_a_while() -> None:
    side, near = Side(reads_store=True), StubPeer()
    side.holder.offer(make_snapshot(3))
    exchange = side.open()
    exchange.note_version(near, 4)
    await asyncio.sleep(0.05)
    assert not near.sent


async def test_word_of_the_own_zone_goes_before_that_of_another() -> None:
    side = Side()
    side.holder.offer(make_snapshot(3))
    exchange = side.open()
    far, near = StubPeer(is_local_zone=False), StubPeer()
    exchange.note_version(far, 4)
    exchange.note_version(near, 4)
    await asyncio.sleep(0.01)
    assert (far.sent, near.sent) == ([], [Fetch(version=3)])


async def test_change_is_unpacked_and_offered() -> None:
    side = Side()
    exchange = side.open()
    side.holder.offer(make_snapshot(3))
    exchange.receive(StubPeer(), make_document(side, 4, base=3))
    assert side.offered == [b'4']


async def test_change_of_another_version_is_asked_for_whole() -> None:
    side, peer = Side(), StubPeer()
    side.open().receive(peer, make_document(side, 4, base=3))
    assert peer.sent == [Fetch(version=0)]
    assert not side.offered


async def test_older_version_is_not_even_unpacked() -> None:
    side, peer = Side(), StubPeer()
    exchange = side.open()
    side.holder.offer(make_snapshot(8))
    exchange.receive(peer, make_document(side, 4, base=3))
    assert not (peer.sent or side.offered)
