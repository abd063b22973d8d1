"""Records of the platform's keyed topics, and their encoding."""

import base64
from typing import Any, Final

import attrs

from goldcrestwharf.platform._fields import get_field

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


def decode_items(body: dict[str, Any]) -> list[KeyedRecord]:
    """Return the records in an answer to a call for the newest ones."""
    return [
        KeyedRecord(
            key=get_field(entry, 'key', str),
            payload=base64.b64decode(get_field(entry, 'value', str)),
            offset=int(entry.get('offset', 0)),
        )
        for entry in get_field(body, 'items', list)
    ]


def decode_page(body: bytes, offset: int, epoch: int) -> Page:
    """Return the records in an answer to a read from ``offset`` on."""
    records: list[KeyedRecord] = []
    at = 2 * _OFFSET_BYTES
    while at < len(body):
        begin = at + _LENGTH_BYTES
        at = begin + int.from_bytes(body[at:begin], _ORDER)
        record = _decode_keyed(body[begin:at])
        records.append(attrs.evolve(record, offset=offset + len(records)))
    return Page(
        records=tuple(records),
        end=int.from_bytes(body[:_OFFSET_BYTES], _ORDER),
        epoch=epoch,
    )


def _decode_keyed(written: bytes) -> KeyedRecord:
    key_end = 1 + written[0]
    return KeyedRecord(
        key=written[1:key_end].decode('utf-8', 'replace'),
        payload=written[key_end:],
    )
