"""Protect records against damage and tell foreign ones apart.

A record's body is a magic number, a checksum and an encoded message.
"""

import enum
import hashlib
from typing import cast, get_args

import attrs

from goldcrestwharf.errors import UnsupportedMessageError, WireFormatError
from goldcrestwharf.log import LogRecord
from goldcrestwharf.replay._records import Record
from goldcrestwharf.wire import decode, encode

_MAGIC = b'gcw\x01'
_CHECKSUM_BYTES = 8
_HEADER_BYTES = len(_MAGIC) + _CHECKSUM_BYTES
_MARK_BYTES = 16


class SkipReason(enum.StrEnum):
    """Tell why a record of the log has no meaning to this release."""

    CORRUPT = 'corrupt'
    FOREIGN = 'foreign'
    UNKNOWN = 'unknown'


@attrs.frozen(kw_only=True)
class Entry:
    """Hold one record of the log, read and marked."""

    offset: int
    mark: bytes
    record: Record | SkipReason


def pack_record(record: Record) -> bytes:
    """Return the body under which ``record`` stands in the log."""
    packed = encode(record)
    return _MAGIC + _checksum(packed) + packed


def unpack_record(body: bytes) -> Record | SkipReason:
    """Return the record in ``body``, or why there is none."""
    if not body.startswith(_MAGIC):
        return SkipReason.FOREIGN
    packed = body[_HEADER_BYTES:]
    if body[len(_MAGIC) : _HEADER_BYTES] != _checksum(packed):
        return SkipReason.CORRUPT
    return _decode_record(packed)


def read_entry(record: LogRecord) -> Entry:
    """Return ``record`` read and marked."""
    return Entry(
        offset=record.offset,
        mark=mark_of(record.body),
        record=unpack_record(record.body),
    )


def mark_of(body: bytes) -> bytes:
    """Return the digest that tells a record from others."""
    return hashlib.blake2b(body, digest_size=_MARK_BYTES).digest()


def _checksum(packed: bytes) -> bytes:
    return hashlib.blake2b(packed, digest_size=_CHECKSUM_BYTES).digest()


def _decode_record(packed: bytes) -> Record | SkipReason:
    try:
        record = decode(packed)
    except UnsupportedMessageError:
        return SkipReason.UNKNOWN
    except WireFormatError:
        return SkipReason.CORRUPT
    if isinstance(record, get_args(Record)):
        return cast(Record, record)
    return SkipReason.FOREIGN
