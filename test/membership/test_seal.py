import anyio
import attrs
import pytest

from goldcrestwharf.membership import MembershipSettings
from goldcrestwharf.membership._probes import Ack, Ping
from goldcrestwharf.membership._seal import MAC_BYTES, DatagramError, Seal
from goldcrestwharf.wire import encode
from test.helper import CLUSTER_KEY
from test.membership.network import FakeNetwork, start_daemons
from test.membership.stepped import SteppedTimers

SEAL = Seal(cluster='test', key=CLUSTER_KEY, max_bytes=1200)
PING = Ping(
    cluster='test',
    sequence=1,
    sender='vm-9',
    target='recife-a-0',
    running='',
)


def seal_raw(packed: bytes) -> bytes:
    return SEAL._sign(packed) + packed


def make_foreign() -> bytes:
    foreign = attrs.evolve(PING, cluster='other')
    return attrs.evolve(SEAL, cluster='other').close(foreign)


WRONG = (
    ('oversized', SEAL.close(PING).ljust(1201, b'x')),
    ('unauthenticated', b''),
    ('unauthenticated', bytes(MAC_BYTES)),
    ('unauthenticated', bytes(MAC_BYTES) + encode(PING)),
    ('unauthenticated', SEAL.close(PING)[:-1]),
    ('unauthenticated', b''.join((SEAL.close(PING), b'x'))),
    ('unauthenticated', attrs.evolve(SEAL, key=b'another').close(PING)),
    ('malformed', seal_raw(b'')),
    ('malformed', seal_raw(b'\xc1')),
    ('malformed', seal_raw(encode(PING)[:-1])),
    ('malformed', seal_raw(b'\x92\xa4ping\x80')),
    ('foreign', make_foreign()),
)


def test_a_datagram_survives_the_way() -> None:
    ack = Ack(cluster='test', sequence=7, sender='a', running='1.2')
    assert SEAL.open(SEAL.close(ack)) == ack


@pytest.mark.parametrize(('kind', 'packed'), WRONG)
def test_a_wrong_datagram_is_refused(kind: str, packed: bytes) -> None:
    with pytest.raises(DatagramError) as caught:
        SEAL.open(packed)
    assert caught.value.kind == kind


async def test_wrong_datagrams_are_counted_and_change_nothing() -> None:
    timers = SteppedTimers()
    async with anyio.create_task_group() as tg:
        network = FakeNetwork(timers=timers, tg=tg)
        daemons = start_daemons(network, 3)
        await timers.advance(5)
        before = daemons[0].states()
        for _, packed in WRONG:
            network.send(packed, 'stranger:1', daemons[0].address)
        await timers.advance(5)
        drops = daemons[0].service.drops.by_reason
        expected = {kind: 0 for kind, _ in WRONG}
        for kind, _ in WRONG:
            expected[kind] += 1
        assert dict(drops) == expected
        assert daemons[0].states() == before
        tg.cancel_scope.cancel()


async def test_every_datagram_keeps_the_bound() -> None:
    cfg = MembershipSettings(datagram_bytes=600)
    timers = SteppedTimers()
    async with anyio.create_task_group() as tg:
        network = FakeNetwork(timers=timers, tg=tg)
        start_daemons(network, 12, cfg=cfg)
        await timers.advance(10)
        assert 300 < network.traffic.largest <= 600
        tg.cancel_scope.cancel()
