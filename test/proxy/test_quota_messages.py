"""Test messages about limits between daemons of several releases."""

import attrs
import msgpack

from goldcrestwharf.proxy._codec import pack, unpack
from goldcrestwharf.proxy._peer_messages import Hello
from goldcrestwharf.proxy._quota_messages import QuotaRequest, pack_grant
from goldcrestwharf.quotas import Allotment


def test_hello_of_an_older_release_offers_no_exchange() -> None:
    hello = Hello(
        name='a', process='p', address='a:1', zone='z', version=1, digest=b''
    )
    parts = msgpack.unpackb(pack(attrs.evolve(hello, features=3)))
    assert unpack(parts) == attrs.evolve(hello, features=3)
    assert unpack(parts[:-1]) == hello


def test_grant_keeps_its_times_on_the_wire() -> None:
    request = QuotaRequest(workspace='a', tokens=1, returned=0, number=7)
    sent = Allotment(tokens=3, first_wait=-1, spacing=0.25, retry_after=0.5)
    grant = unpack(msgpack.unpackb(pack(pack_grant(request, sent))))
    assert grant == pack_grant(request, sent)
    assert pack_grant(request, sent).unpack() == sent
    assert pack_grant(request, None).unpack() is None
