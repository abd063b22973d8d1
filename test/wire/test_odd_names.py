"""Check that odd names of messages are refused with a short text."""

import msgpack
import pytest

from goldcrestwharf.errors import GoldcrestwharfError
from goldcrestwharf.wire import decode

NESTED = b'\x91' * 900


@pytest.mark.parametrize(
    'packed',
    [
        b'\x92%b\x01\x80' % NESTED,
        b'\x92\xa1a%b\x01' % NESTED,
        b'\x91' * 5000,
        msgpack.packb(['x' * 100_000, {}]),
        msgpack.packb([2**64 - 1, {}]),
        msgpack.packb([None, None]),
    ],
)
def test_odd_name_is_refused_with_a_short_text(packed: bytes) -> None:
    with pytest.raises(GoldcrestwharfError) as caught:
        decode(packed)
    assert len(str(caught.value)) < 1000
