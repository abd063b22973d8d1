import anyio
import attrs
import pytest

from goldcrestwharf.membership import MembershipSettings
from goldcrestwharf.membership._datagram_codec import (
    MAC_BYTES,
    DatagramCodec,
    DatagramError,
)
from goldcrestwharf.membership._probes import Ack, Ping
from goldcrestwharf.wire import encode
from test.helper import CLUSTER_KEY
from test.membership.network import FakeNetwork, start_daemons
from test.membership.stepped import SteppedTimers

CODEC = DatagramCodec(cluster='test', key=CLUSTER_KEY, max_bytes=1200)
PING = Ping(
    cluster='test',
    sequence=1,
    sender='vm-9',
    target='recife-a-0',
    running='',
)


def sign_raw(packed: bytes) -> bytes:
    return CODEC._sign(packed) + packed


def make_foreign() -> bytes:
    foreign = attrs.evolve(PING, cluster='other')
    return attrs.evolve(CODEC, cluster='other').pack(foreign)


INVALID = (
    ('oversized', CODEC.pack(PING).ljust(1201, b'x')),
    ('unauthenticated', b''),
    ('unauthenticated', bytes(MAC_BYTES)),
    ('unauthenticated', bytes(MAC_BYTES) + encode(PING)),
    ('unauthenticated', CODEC.pack(PING)[:-1]),
    ('unauthenticated', b''.join((CODEC.pack(PING), b'x'))),
    ('unauthenticated', attrs.evolve(CODEC, key=b'another').pack(PING)),
    ('malformed', sign_raw(b'')),
    ('malformed', sign_raw(b'\xc1')),
    ('malformed', sign_raw(encode(PING)[:-1])),
    ('malformed', sign_raw(b'\x92\xa4ping\x80')),
    ('foreign', make_foreign()),
)


def test_datagram_round_trip() -> None:
    ack = Ack(cluster='test', sequence=7, sender='a', running='1.2')
    assert CODEC.unpack(CODEC.pack(ack)) == ack


@pytest.mark.parametrize(('kind', 'packed'), INVALID)
def test_invalid_datagram_is_rejected(kind: str, packed: bytes) -> None:
    with pytest.raises(DatagramError) as caught:
        CODEC.unpack(packed)
    assert caught.value.kind == kind


async def test_invalid_datagrams_are_counted_and_change_nothing() -> None:
    timers = SteppedTimers()
    async with anyio.create_task_group() as tg:
        network = FakeNetwork(timers=timers, tg=tg)
        daemons = start_daemons(network, 3)
        await timers.advance(5)
        before = daemons[0].states()
        for _, packed in INVALID:
            network.send(packed, 'stranger:1', daemons[0].address)
        await timers.advance(5)
        drops = daemons[0].service.drops.by_reason
        expected = {kind: 0 for kind, _ in INVALID}
        for kind, _ in INVALID:
            expected[kind] += 1
        assert dict(drops) == expected
        assert daemons[0].states() == before
        tg.cancel_scope.cancel()


async def test_datagrams_stay_within_datagram_bytes() -> None:
    cfg = MembershipSettings(datagram_bytes=600)
    timers = SteppedTimers()
    async with anyio.create_task_group() as tg:
        network = FakeNetwork(timers=timers, tg=tg)
        start_daemons(network, 12, cfg=cfg)
        await timers.advance(10)
        assert 300 < network.traffic.largest <= 600
        tg.cancel_scope.cancel()
