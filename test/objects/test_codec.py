"""Test the encoding of sets and deltas."""

import json
import zlib

import attrs
import pytest
from hypothesis import given, settings

from goldcrestwharf.objects import (
    MAX_CANONICAL_BYTES,
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
class SetAndDelta:
    objects: ObjectSet
    delta: ObjectDelta


@given(OBJECT_SETS)
@settings(derandomize=True, max_examples=100, deadline=None)
def test_decoded_set_equals_the_encoded_set(objects: ObjectSet) -> None:
    assert decode_objects(encode_objects(objects)) == objects


@given(OBJECT_SETS, OBJECT_SETS)
@settings(derandomize=True, max_examples=100, deadline=None)
def test_decoded_delta_equals_the_encoded_delta(
    old: ObjectSet, new: ObjectSet
) -> None:
    delta = diff(old, new)
    assert decode_delta(encode_delta(delta)) == delta


def test_set_and_delta_can_be_fields_of_messages() -> None:
    both = SetAndDelta(objects=SMALL, delta=diff(ObjectSet(), SMALL))
    assert decode(encode(both)) == both


@pytest.mark.parametrize(
    'json_bytes',
    [
        b'',
        b'{',
        b'null',
        b'[]',
        b'"a"',
        b'\xff',
        b'{"unknown": {}}',
        b'{"routes": []}',
        b'{"routes": {"a": {}}}',
        b'{"routes": {"a": {"service": 1}}}',
        b'{"routes": {"a": {"service": "b", "unknown": 1}}}',
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
def test_malformed_bytes_are_refused(
    decoder: object, json_bytes: bytes
) -> None:
    with pytest.raises(ObjectsFormatError):
        decoder(zlib.compress(json_bytes))


@pytest.mark.parametrize(
    'compressed',
    [
        b'',
        b'not compressed',
        encode_objects(SMALL)[:-1],
        b''.join((encode_objects(SMALL), b'more')),
        zlib.compress(b' ' * (MAX_CANONICAL_BYTES + 1)),
    ],
    ids=['empty', 'plain', 'truncated', 'trailing', 'too large'],
)
def test_bad_compression_is_refused(compressed: bytes) -> None:
    with pytest.raises(ObjectsFormatError, match='compress'):
        decode_objects(compressed)


def test_encoded_set_is_compressed_json_without_defaults() -> None:
    plain = json.loads(zlib.decompress(encode_objects(SMALL)))
    assert plain == {
        'routes': {'menu-web': {'methods': ['GET'], 'service': 'menu'}},
        'services': {'menu': {'split': {'b': 5}, 'target_group': 'menu-pool'}},
        'target_groups': {'menu-pool': {}},
    }
