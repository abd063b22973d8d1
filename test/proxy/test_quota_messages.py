"""Test messages about limits between daemons of several releases."""

import attrs
import msgpack
import pytest

from goldcrestwharf.proxy._codec import pack, unpack
from goldcrestwharf.proxy._peer_messages import Hello
from goldcrestwharf.proxy._quota_messages import QuotaGrant, QuotaRequest


def test_hello_of_an_older_release_offers_no_exchange() -> None:
    hello = Hello(
        name='a', process='p', address='a:1', zone='z', version=1, digest=b''
    )
    parts = msgpack.unpackb(pack(attrs.evolve(hello, features=3)))
    assert unpack(parts) == attrs.evolve(hello, features=3)
    assert unpack(parts[:-1]) == hello


@pytest.mark.parametrize(
    'message',
    [
        QuotaRequest(workspace='bakery', tokens=1, returned=0, charged=2),
        QuotaGrant(workspace='bakery', tokens=3, retry_after_ms=0, ready=2),
    ],
)
def test_token_message_of_an_older_release_is_understood(
    message: QuotaRequest | QuotaGrant,
) -> None:
    """It ends before the number of ready or charged tokens."""
    parts = msgpack.unpackb(pack(message))
    assert unpack(parts) == message
    older = unpack(parts[:-1])
    assert isinstance(older, QuotaRequest | QuotaGrant)
    assert attrs.asdict(older) == {
        **attrs.asdict(message),
        attrs.fields(type(message))[-1].name: 0,
    }
