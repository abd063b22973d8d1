"""Encode objects as canonical JSON and compressed bytes, and decode them.

Canonical JSON has sorted keys, no spaces, only ASCII characters, and no field
that equals its default. Equal objects therefore have the same bytes, and a
release that adds a field with a default doesn't change existing bytes.
"""

import json
import zlib
from typing import TypeVar

from goldcrestwharf.objects._converter import canonical_json, converter
from goldcrestwharf.objects._delta import ObjectDelta
from goldcrestwharf.objects._errors import ObjectsFormatError
from goldcrestwharf.objects._model import ObjectSet

#: Limit on the canonical JSON of a set or delta, against zip bombs.
MAX_CANONICAL_BYTES = 33_554_432

_REMEDY = 'publish or fetch the configuration again'

_ModelT = TypeVar('_ModelT')


def encode_objects(objects: ObjectSet) -> bytes:
    """Return the compressed canonical form of a set."""
    return zlib.compress(canonical_json(objects))


def decode_objects(packed: bytes) -> ObjectSet:
    """Return the set in ``packed``, which may still violate the rules.

    Raises :class:`ObjectsFormatError` for bytes of any other form.
    """
    return _unpack(packed, ObjectSet)


def encode_delta(delta: ObjectDelta) -> bytes:
    """Return the compressed canonical form of a delta."""
    return zlib.compress(canonical_json(delta))


def decode_delta(packed: bytes) -> ObjectDelta:
    """Return the delta in ``packed``.

    Raises :class:`ObjectsFormatError` for bytes of any other form.
    """
    return _unpack(packed, ObjectDelta)


def _unpack(packed: bytes, model: type[_ModelT]) -> _ModelT:
    json_text = _decompress(packed)
    try:
        return converter.structure(json.loads(json_text), model)
    except Exception as exc:
        raise ObjectsFormatError(
            reason=f'malformed {model.__name__}: {exc!r}',
            remedy=_REMEDY,
        ) from exc


def _decompress(packed: bytes) -> bytes:
    stream = zlib.decompressobj()
    try:
        json_text = stream.decompress(packed, MAX_CANONICAL_BYTES)
    except zlib.error as exc:
        raise ObjectsFormatError(
            reason=f'malformed compression: {exc}',
            remedy=_REMEDY,
        ) from exc
    if stream.eof and not stream.unused_data:
        return json_text
    raise ObjectsFormatError(
        reason='compressed data is truncated, too large or has trailing bytes',
        remedy=_REMEDY,
    )
