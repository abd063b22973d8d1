import attrs
import msgpack
import pytest

from goldcrestwharf.errors import UnsupportedMessageError, WireFormatError
from goldcrestwharf.wire import decode, encode, message


@message('test.sample')
@attrs.frozen(kw_only=True)
class Sample:
    name: str
    count: int = 3
    parts: tuple[bytes, ...] = ()
    words: tuple[str, ...] = ()
    pairs: tuple[tuple[str, int], ...] = ()


def test_message_round_trip() -> None:
    sample = Sample(
        name='menu',
        count=1,
        parts=(b'a', b''),
        words=('GET',),
        pairs=(('a', 1), ('b', 2)),
    )
    assert decode(encode(sample)) == sample


def test_unknown_fields_are_ignored_and_missing_ones_take_defaults() -> None:
    packed = msgpack.packb(['test.sample', {'name': 'a', 'later': 1}])
    assert decode(packed) == Sample(name='a')


def test_unregistered_message_name_is_unsupported() -> None:
    with pytest.raises(UnsupportedMessageError, match='unknown message'):
        decode(msgpack.packb(['test.later', {}]))


@pytest.mark.parametrize(
    'packed',
    [
        b'',
        b'\xc1',
        b'\x00trailing',
        msgpack.packb(1),
        msgpack.packb([]),
        msgpack.packb(['test.sample']),
        msgpack.packb(['test.sample', []]),
        msgpack.packb(['test.sample', {}]),
        msgpack.packb(['test.sample', {'name': 1}]),
        msgpack.packb(['test.sample', {'name': 'a', 'count': True}]),
        msgpack.packb(['test.sample', {'name': 'a', 'count': '1'}]),
        msgpack.packb(['test.sample', {'name': 'a', 'parts': 'ab'}]),
        msgpack.packb(['test.sample', {'name': 'a', 'parts': ['b']}]),
        msgpack.packb(['test.sample', {'name': 'a', 'words': 'GET'}]),
        msgpack.packb(['test.sample', {'name': 'a', 'words': {'b': 1}}]),
        msgpack.packb(['test.sample', {'name': 'a', 'pairs': [['b']]}]),
        msgpack.packb(['test.sample', {'name': 'a', 'pairs': ['ab']}]),
    ],
)
def test_malformed_bytes_are_refused(packed: bytes) -> None:
    with pytest.raises(WireFormatError):
        decode(packed)
