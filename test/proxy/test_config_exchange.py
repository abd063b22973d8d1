"""Test from whom a daemon fetches configurations, and when."""

import asyncio

import attrs
import pytest

from goldcrestwharf.platform import _watch as watch_module
from goldcrestwharf.policy import PolicyHolder
from goldcrestwharf.proxy import _config_exchange as exchange_module
from goldcrestwharf.proxy._config_exchange import ConfigExchange
from goldcrestwharf.proxy._document_messages import Document, Fetch
from test.policy.helper import make_snapshot


@attrs.define(kw_only=True)
class StubPeer:
    name: str = 'peer'
    is_local_zone: bool = True
    sent: list[object] = attrs.field(factory=list)

    def send(self, message: object) -> None:
        self.sent.append(message)


@attrs.define(kw_only=True)
class Node:
    """Configuration state of one daemon."""

    has_contact: bool = False
    is_waiting: bool = False
    is_zone_without_reader: bool = False
    holder: PolicyHolder = attrs.field(factory=PolicyHolder)
    offered: list[bytes] = attrs.field(factory=list)

    def open(self) -> ConfigExchange:
        return ConfigExchange(
            holder=self.holder,
            offer=lambda encoded, _: self.offered.append(encoded),
            store_access=self,
        )


def make_document(node: Node, version: int, base: int = 0) -> Document:
    """Return the document that a daemon on ``version`` sends for ``base``."""
    other = Node()
    exchange = other.open()
    for known in (base, version):
        if known:
            other.holder.offer(make_snapshot(known))
    document = exchange.find_document(base)
    assert document is not None
    return document


async def test_daemon_fetches_new_version_from_its_zone_at_once() -> None:
    node, near = Node(), StubPeer()
    exchange = node.open()
    exchange.handle_version(near, 4)
    await asyncio.sleep(0.01)
    assert near.sent == [Fetch(version=0)]


async def test_version_announced_by_two_readers_is_fetched_once() -> None:
    exchange = Node().open()
    peers = [StubPeer(), StubPeer()]
    for peer in peers:
        exchange.handle_version(peer, 4)
        await asyncio.sleep(0.01)
    assert [len(peer.sent) for peer in peers] == [1, 0]


async def test_reader_waits_for_the_store_before_it_fetches() -> None:
    node, near = Node(has_contact=True), StubPeer()
    node.holder.offer(make_snapshot(3))
    exchange = node.open()
    exchange.handle_version(near, 4)
    await asyncio.sleep(0.05)
    assert not near.sent


async def test_fetch_from_local_zone_replaces_one_from_other_zone() -> None:
    node = Node()
    node.holder.offer(make_snapshot(3))
    exchange = node.open()
    far, near = StubPeer(is_local_zone=False), StubPeer()
    exchange.handle_version(far, 4)
    exchange.handle_version(near, 4)
    await asyncio.sleep(0.01)
    assert (far.sent, near.sent) == ([], [Fetch(version=3)])


async def test_received_change_is_unpacked_and_offered() -> None:
    node = Node()
    exchange = node.open()
    node.holder.offer(make_snapshot(3))
    exchange.receive(StubPeer(), make_document(node, 4, base=3))
    assert node.offered == [b'4']


async def test_change_for_an_unknown_base_leads_to_a_whole_fetch() -> None:
    node, peer = Node(), StubPeer()
    node.open().receive(peer, make_document(node, 4, base=3))
    assert peer.sent == [Fetch(version=0)]
    assert not node.offered


async def test_older_version_is_ignored() -> None:
    node, peer = Node(), StubPeer()
    exchange = node.open()
    node.holder.offer(make_snapshot(8))
    exchange.receive(peer, make_document(node, 4, base=3))
    assert not (peer.sent or node.offered)


async def test_versions_in_quick_succession_do_not_put_off_a_fetch(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The store's connection is silent, so only the fetch can deliver them."""
    monkeypatch.setattr(
        'goldcrestwharf.proxy._config_exchange._NORMAL_DELAY_S', 0.05
    )
    node, near = Node(has_contact=True), StubPeer()
    node.holder.offer(make_snapshot(3))
    exchange = node.open()
    for version in range(4, 40):
        exchange.handle_version(near, version)
        await asyncio.sleep(0.01)
    assert near.sent[0] == Fetch(version=3)


async def test_document_that_is_refused_is_not_fetched_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(
        'goldcrestwharf.discovery._fetch_schedule._FETCH_TIMEOUT_S', 0.01
    )
    node, near = Node(), StubPeer()
    exchange = node.open()
    exchange.handle_version(near, 4)
    await asyncio.sleep(0.005)
    # The stub of the decoder adopts nothing.
    exchange.receive(near, make_document(node, 4))
    sent = len(near.sent)
    exchange.handle_version(near, 4)
    await asyncio.sleep(0.05)
    assert sent and len(near.sent) == sent


async def test_reader_does_not_trust_a_read_that_should_have_returned(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    module = 'goldcrestwharf.proxy._config_exchange'
    monkeypatch.setattr(f'{module}._NORMAL_DELAY_S', 3600)
    monkeypatch.setattr(f'{module}._OVERDUE_DELAY_S', 0.01)
    node = Node(has_contact=True, is_waiting=True)
    node.holder.offer(make_snapshot(3))
    exchange, near, far = node.open(), StubPeer(), StubPeer(is_local_zone=False)
    exchange.handle_version(far, 5)
    exchange.handle_version(near, 4)
    await asyncio.sleep(0.05)
    assert (near.sent, far.sent) == ([Fetch(version=3)], [])


async def test_change_for_another_document_as_base_is_fetched_whole() -> None:
    """A restored store may give a version to another document."""
    other, node, peer = Node(), Node(), StubPeer()
    source, exchange = other.open(), node.open()
    for version in (3, 4):
        text = bytes(range(200)) * 20 + b'%d' % version
        snapshot = attrs.evolve(make_snapshot(version), document=text)
        other.holder.offer(snapshot)
    reverse = bytes(reversed(range(200))) * 20
    node.holder.offer(attrs.evolve(make_snapshot(3), document=reverse))
    document = source.find_document(3)
    assert document is not None
    exchange.receive(peer, document)
    assert peer.sent == [Fetch(version=0)]


async def test_zone_without_readers_does_not_wait_for_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    module = 'goldcrestwharf.proxy._config_exchange'
    for delay in ('NORMAL', 'INITIAL'):
        monkeypatch.setattr(f'{module}._{delay}_DELAY_S', 3600)
    node, far = Node(is_zone_without_reader=True), StubPeer(is_local_zone=False)
    node.holder.offer(make_snapshot(3))
    node.open().handle_version(far, 4)
    await asyncio.sleep(0.05)
    assert far.sent == [Fetch(version=3)]


def test_silent_read_is_noticed_while_it_excuses_nothing_yet() -> None:
    """The users excuse a daemon for 3 s after its connection fell silent."""
    noticed = watch_module._LEAD_WAIT_S + watch_module._LEAD_ANSWER_TIMEOUT_S
    assert noticed + exchange_module._OVERDUE_DELAY_S <= 2.5


@pytest.mark.parametrize(('threshold', 'expected'), [(0, 1), (3600, 0)])
async def test_version_that_waited_is_logged_as_adopted_late(
    threshold: float,
    expected: int,
    monkeypatch: pytest.MonkeyPatch,
    caplog: pytest.LogCaptureFixture,
) -> None:
    monkeypatch.setattr(exchange_module, '_LATE_ADOPTION_S', threshold)
    node = Node(has_contact=True)
    node.holder.offer(make_snapshot(3))
    node.open().handle_version(StubPeer(), 4)
    node.holder.offer(make_snapshot(4))
    assert caplog.text.count('config.adopted_late') == expected
