"""Records of the platform's keyed topics, and their encoding."""

import base64
from collections.abc import Mapping
from typing import Any, Final

import attrs

from goldcrestwharf.loglines import EventLog
from goldcrestwharf.platform._fields import (
    expect_table,
    get_field,
)
from goldcrestwharf.platform._values import (
    PlatformFormatError,
    show,
)

_log = EventLog(__name__)

_LENGTH_BYTES = 4
_OFFSET_BYTES = 8
_ORDER: Final = 'big'


@attrs.frozen(kw_only=True)
class KeyedRecord:
    """A record of a keyed topic; an empty ``payload`` deletes the key.

    ``offset`` is that of a record that was read.
    """

    key: str
    payload: bytes
    offset: int = attrs.field(default=0, eq=False)


@attrs.frozen(kw_only=True)
class Page:
    """A page of records, and the end offset of the partition.

    The partition may have further records between the page and ``end``.
    Offsets hold within one ``epoch`` of the store only.
    """

    records: tuple[KeyedRecord, ...]
    end: int
    epoch: int = 0


def encode_record(record: KeyedRecord) -> bytes:
    """Return a record as the body of an append."""
    key = record.key.encode()
    keyed = b'%c%b%b' % (len(key), key, record.payload)
    return len(keyed).to_bytes(_LENGTH_BYTES, _ORDER) + keyed


def decode_items(body: Mapping[str, Any]) -> list[KeyedRecord]:
    """Return the records in an answer to a call for the newest ones.

    One without a key or an offset is left out, and the payload of one that
    can't be decoded is empty.
    """
    records: list[KeyedRecord] = []
    for entry in get_field(body, 'items', list):
        try:
            records.append(_decode_item(expect_table(entry, 'an item')))
        except PlatformFormatError as exc:
            _log.warning('store.record_unreadable', cause=exc.reason)
    return records


def decode_page(body: bytes, offset: int, epoch: int) -> Page:
    """Return the records in an answer to a read from ``offset`` on.

    An unreadable record has neither key nor payload.
    """
    records: list[KeyedRecord] = []
    at = 2 * _OFFSET_BYTES
    while at < len(body):
        begin = at + _LENGTH_BYTES
        at = begin + int.from_bytes(body[at:begin], _ORDER)
        record = _decode_keyed(body[begin:at])
        records.append(attrs.evolve(record, offset=offset + len(records)))
    if at > len(body):
        raise PlatformFormatError(reason='the page is cut off')
    return Page(
        records=tuple(records),
        end=int.from_bytes(body[:_OFFSET_BYTES], _ORDER),
        epoch=epoch,
    )


def _decode_item(entry: Mapping[str, Any]) -> KeyedRecord:
    return KeyedRecord(
        key=get_field(entry, 'key', str),
        payload=_decode_payload(entry),
        offset=get_field({'offset': 0, **entry}, 'offset', int),
    )


def _decode_payload(entry: Mapping[str, Any]) -> bytes:
    try:
        return base64.b64decode(entry.get('value', ''))
    except (ValueError, TypeError) as exc:
        _log.warning('store.record_unreadable', cause=show(str(exc)))
        return b''


def _decode_keyed(written: bytes) -> KeyedRecord:
    key_end = 1 + int.from_bytes(written[:1], _ORDER)
    if not written or len(written) < key_end:
        _log.warning('store.record_unreadable', size=len(written))
        return KeyedRecord(key='', payload=b'')
    return KeyedRecord(
        key=written[1:key_end].decode('utf-8', 'replace'),
        payload=written[key_end:],
    )
