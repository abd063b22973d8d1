"""Wrap records so that corrupt and foreign ones are detected.

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
_BODY_DIGEST_BYTES = 16


class SkipReason(enum.StrEnum):
    """Why this release can't use a record of the log."""

    CORRUPT = 'corrupt'
    FOREIGN = 'foreign'
    UNKNOWN = 'unknown'


@attrs.frozen(kw_only=True)
class Entry:
    """One decoded record of the log with the digest of its body."""

    offset: int
    body_digest: bytes
    record: Record | SkipReason


def pack_record(record: Record) -> bytes:
    """Return the body that holds ``record`` in the log."""
    packed = encode(record)
    return _MAGIC + _checksum(packed) + packed


def unpack_record(body: bytes) -> Record | SkipReason:
    """Return the record in ``body``, or why it can't be used."""
    if not body.startswith(_MAGIC):
        return SkipReason.FOREIGN
    packed = body[_HEADER_BYTES:]
    if body[len(_MAGIC) : _HEADER_BYTES] != _checksum(packed):
        return SkipReason.CORRUPT
    return _decode_record(packed)


def read_entry(record: LogRecord) -> Entry:
    """Return ``record`` decoded, with the digest of its body."""
    return Entry(
        offset=record.offset,
        body_digest=digest_body(record.body),
        record=unpack_record(record.body),
    )


def digest_body(body: bytes) -> bytes:
    """Return the digest that identifies a record by its body."""
    return hashlib.blake2b(body, digest_size=_BODY_DIGEST_BYTES).digest()


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
