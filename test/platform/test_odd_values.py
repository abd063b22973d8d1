"""Check that each reader refuses odd values of another writer by itself."""

import json
from collections.abc import Callable
from types import MappingProxyType

import attrs
import pytest

from goldcrestwharf.platform._announce import _decode as decode_daemon
from goldcrestwharf.platform._configuration import decode_configuration
from goldcrestwharf.platform._heartbeats import (
    decode_heartbeat,
    decode_leave_notice,
)
from goldcrestwharf.platform._rollout_records import decode_order, find_status
from goldcrestwharf.platform._store_records import KeyedRecord
from goldcrestwharf.platform._values import PlatformFormatError
from goldcrestwharf.rollouts import RolloutOrder
from test.platform.helper import make_configuration
from test.platform.odd_values import (
    NO_ADDRESSES,
    ODD_JSON,
    assert_usable,
    replace_each_field,
)
from test.platform.test_decoding import make_heartbeat, make_tenants

ORDER = RolloutOrder(service='a', version='v2', duration=12, offset=3)


@attrs.frozen(kw_only=True)
class Reader:
    """Decoder of a document, and a valid one."""

    decode: Callable[[bytes], object]
    document: object


def make_record(payload: bytes) -> KeyedRecord:
    return KeyedRecord(key='rollout/a', payload=payload)


READERS = MappingProxyType(
    {
        'daemon': Reader(
            decode=lambda body: decode_daemon(
                KeyedRecord(key='vm-9', payload=body)
            ),
            document={'address': '10.1.0.41:7600', 'zone': 'recife-a'},
        ),
        'configuration': Reader(
            decode=decode_configuration,
            document={**make_configuration(), **make_tenants()},
        ),
        'order': Reader(
            decode=lambda body: decode_order(make_record(body), 1),
            document={
                'service': 'a',
                'target_version': 'v2',
                'duration': '12s',
            },
        ),
        'status': Reader(
            decode=lambda body: find_status((make_record(body),), ORDER),
            document={
                'service': 'a',
                'state': 'running',
                'target_version': 'v2',
                'order_offset': 3,
                'started_ms': 1767790000000,
            },
        ),
        'heartbeat': Reader(
            decode=lambda body: decode_heartbeat('i-1', body),
            document=make_heartbeat(),
        ),
        'leave-notice': Reader(
            decode=lambda body: decode_leave_notice('i-1', body),
            document={'born': 1767790000000},
        ),
    }
)


@pytest.mark.parametrize('kind', ODD_JSON)
@pytest.mark.parametrize('name', READERS)
def test_odd_value_in_any_field_is_refused_or_usable(
    name: str, kind: str
) -> None:
    reader = READERS[name]
    assert reader.decode(json.dumps(reader.document).encode())
    for written in replace_each_field(reader.document, ODD_JSON[kind]):
        try:
            decoded = reader.decode(written)
        except PlatformFormatError as exc:
            assert len(exc.reason.encode()) < 1000
        else:
            assert_usable(decoded)


@pytest.mark.parametrize('kind', NO_ADDRESSES)
def test_daemon_without_a_usable_address_is_refused(kind: str) -> None:
    """A connection to such an address fails with no error of the system."""
    written = f'{{"zone": "a", "address": {ODD_JSON[kind]}}}'
    with pytest.raises(PlatformFormatError):
        READERS['daemon'].decode(written.encode())
