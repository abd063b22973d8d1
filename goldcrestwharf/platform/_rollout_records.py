"""Decode orders of roll-outs and their statuses, and encode statuses."""

import json
from collections.abc import Mapping
from typing import Any

import attrs

from goldcrestwharf.platform._fields import (
    expect_table,
    get_field,
)
from goldcrestwharf.platform._store_records import KeyedRecord
from goldcrestwharf.platform._values import (
    PlatformFormatError,
    parse_duration,
    parse_json,
    show,
)
from goldcrestwharf.rollouts import RolloutOrder, RolloutStatus

_PREFIX = 'rollout/'

_MS_PER_S = 1000


@attrs.frozen(kw_only=True)
class StoredStatus:
    """Status in the store; ``started_ms`` is that of its order in Unix ms."""

    status: RolloutStatus
    started_ms: int | None = None


def is_rollout(record: KeyedRecord) -> bool:
    """Return whether a record is an order or a status of a roll-out."""
    return record.key.startswith(_PREFIX) and bool(record.payload)


def decode_order(record: KeyedRecord, epoch: int) -> RolloutOrder:
    """Return an order that was read in an epoch of the store.

    Raises :class:`PlatformFormatError` if a part of it is invalid.
    """
    document = _parse(record.payload)
    order = RolloutOrder(
        service=get_field(document, 'service', str),
        version=get_field(document, 'target_version', str),
        duration=parse_duration(document.get('duration')),
        offset=record.offset,
        epoch=epoch,
    )
    if _make_key(order) != record.key:
        raise PlatformFormatError(
            reason=f'{show(record.key)} is for service {show(order.service)}'
        )
    if not order.version or order.duration <= 0:
        raise PlatformFormatError(
            reason=f'{show(record.key)} needs a target version and a duration'
        )
    return order


def find_status(
    records: tuple[KeyedRecord, ...], order: RolloutOrder
) -> StoredStatus | None:
    """Return the status of an order, ``None`` if there is none.

    A status of an earlier order or an invalid one isn't one.
    """
    for record in records:
        if record.key == _make_key(order) and record.payload:
            try:
                return _decode_status(_parse(record.payload), order)
            except PlatformFormatError:
                return None
    return None


def encode_status(
    order: RolloutOrder, status: RolloutStatus, started_s: float
) -> KeyedRecord:
    """Return the record of a status; ``started_s`` is a Unix time."""
    written = {
        'service': order.service,
        'state': status.value,
        'target_version': order.version,
        'order_offset': order.offset,
        'started_ms': round(started_s * _MS_PER_S),
    }
    return KeyedRecord(
        key=_make_key(order), payload=json.dumps(written).encode()
    )


def _decode_status(
    document: Mapping[str, Any], order: RolloutOrder
) -> StoredStatus | None:
    if document.get('target_version') != order.version:
        return None
    if document.get('order_offset', order.offset) != order.offset:
        return None
    written = get_field(document, 'state', str)
    if written not in set(RolloutStatus):
        raise PlatformFormatError(reason=f'state {show(written)} is unknown')
    started_ms = None
    if document.get('started_ms') is not None:
        started_ms = get_field(document, 'started_ms', int)
    return StoredStatus(status=RolloutStatus(written), started_ms=started_ms)


def _make_key(order: RolloutOrder) -> str:
    return _PREFIX + order.service


def _parse(payload: bytes) -> Mapping[str, Any]:
    return expect_table(parse_json(payload), 'a roll-out')
