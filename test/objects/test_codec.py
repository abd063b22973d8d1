"""Test the encoding of sets and deltas."""

import json
import zlib

import attrs
import pytest
from hypothesis import given, settings

from goldcrestwharf import objects as public
from goldcrestwharf.objects import (
    ObjectDelta,
    ObjectSet,
    ObjectsFormatError,
    decode_delta,
    decode_objects,
    diff,
    encode_delta,
    encode_objects,
)
from goldcrestwharf.wire import decode, encode, message
from test.objects.strategies import OBJECT_SETS, SMALL


@message('test.carried-objects')
@attrs.frozen(kw_only=True)
class Envelope:
    objects: ObjectSet
    delta: ObjectDelta


@given(OBJECT_SETS)
@settings(derandomize=True, max_examples=100, deadline=None)
def test_set_survives_encoding_and_decoding(objects: ObjectSet) -> None:
    assert decode_objects(encode_objects(objects)) == objects


@given(OBJECT_SETS, OBJECT_SETS)
@settings(derandomize=True, max_examples=100, deadline=None)
def test_delta_survives_encoding_and_decoding(
    old: ObjectSet, new: ObjectSet
) -> None:
    delta = diff(old, new)
    assert decode_delta(encode_delta(delta)) == delta


def test_set_and_delta_can_be_fields_of_messages() -> None:
    envelope = Envelope(objects=SMALL, delta=diff(ObjectSet(), SMALL))
    assert decode(encode(envelope)) == envelope


@pytest.mark.parametrize(
    'written',
    [
        b'',
        b'{',
        b'null',
        b'[]',
        b'"a"',
        b'\xff',
        b'{"later": {}}',
        b'{"routes": []}',
        b'{"routes": {"a": {}}}',
        b'{"routes": {"a": {"service": 1}}}',
        b'{"routes": {"a": {"service": "b", "later": 1}}}',
        b'{"routes": {"a": {"service": "b", "methods": "GET"}}}',
        b'{"routes": {"a": {"service": "b", "repeatable": 1}}}',
        b'{"target_groups": {"a": {"slots": "12"}}}',
        b'{"target_groups": {"a": {"slots": 12.0}}}',
        b'{"target_groups": {"a": {"slots": true}}}',
        b'{"target_groups": {"a": {"slots": NaN}}}',
        b'{"services": {"a": {"target_group": "b", "split": [1]}}}',
        b'{"services": {"a": {"target_group": "b", "split": {"c": "1"}}}}',
        b'[' * 100_000,
    ],
)
@pytest.mark.parametrize('decoder', [decode_objects, decode_delta])
def test_malformed_bytes_are_refused(decoder: object, written: bytes) -> None:
    with pytest.raises(ObjectsFormatError):
        decoder(zlib.compress(written))


@pytest.mark.parametrize(
    'packed',
    [
        b'',
        b'not compressed',
        encode_objects(SMALL)[:-1],
        b''.join((encode_objects(SMALL), b'more')),
        zlib.compress(b' ' * (public.MAX_CANONICAL_BYTES + 1)),
    ],
    ids=['empty', 'plain', 'cut', 'trailing', 'bomb'],
)
def test_bad_compression_is_refused(packed: bytes) -> None:
    with pytest.raises(ObjectsFormatError, match='compress'):
        decode_objects(packed)


def test_snapshot_is_compressed_canonical_json() -> None:
    plain = json.loads(zlib.decompress(encode_objects(SMALL)))
    assert plain == {
        'routes': {'menu-web': {'methods': ['GET'], 'service': 'menu'}},
        'services': {'menu': {'split': {'b': 5}, 'target_group': 'menu-pool'}},
        'target_groups': {'menu-pool': {}},
    }
