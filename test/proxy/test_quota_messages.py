"""Test messages about limits between daemons of several releases."""

import attrs
import msgpack

from goldcrestwharf.proxy._codec import pack, unpack
from goldcrestwharf.proxy._peer_messages import Hello


def test_hello_of_an_older_release_offers_no_exchange() -> None:
    hello = Hello(
        name='a', process='p', address='a:1', zone='z', version=1, digest=b''
    )
    parts = msgpack.unpackb(pack(attrs.evolve(hello, features=3)))
    assert unpack(parts) == attrs.evolve(hello, features=3)
    assert unpack(parts[:-1]) == hello
