"""Check that odd answers of the store cost no more than what is odd."""

import base64
import json
from types import MappingProxyType

import pytest

from goldcrestwharf.discovery import StoreEpochs
from goldcrestwharf.http1 import Answer, Response
from goldcrestwharf.platform._store import Store, _find_epoch, _parse_json
from goldcrestwharf.platform._store_records import decode_items, decode_page
from goldcrestwharf.platform._values import PlatformFormatError
from test.platform.helper import StubStore, open_stub
from test.platform.odd_values import (
    ODD_JSON,
    assert_usable,
    replace_each_field,
)

ANSWER = MappingProxyType(
    {
        'items': [{'key': 'vm-1', 'value': 'e30=', 'offset': 5}],
        'has_more': False,
        'end_offset': 6,
    }
)


def make_response(body: bytes = b'', epoch: bytes = b'') -> Response:
    return Response(
        status=200, headers=[(b'Store-Era', epoch)], body=body, can_reuse=True
    )


@pytest.mark.parametrize('kind', ODD_JSON)
def test_odd_value_in_an_answer_is_refused_or_usable(kind: str) -> None:
    for written in replace_each_field(dict(ANSWER), ODD_JSON[kind]):
        try:
            records = decode_items(_parse_json(make_response(written)))
        except PlatformFormatError as exc:
            assert len(exc.reason.encode()) < 1000
        else:
            assert_usable([(one.key, one.offset) for one in records])


@pytest.mark.parametrize(
    'epoch', [b'9' * 5000, b'9' * 30, b'-1', b'x', b'\xb2', b'1.5', b'']
)
def test_odd_epoch_of_the_store_is_ignored(epoch: bytes) -> None:
    assert _find_epoch(make_response(epoch=epoch)) == 0


def frame(*records: bytes) -> bytes:
    body = b''.join(len(one).to_bytes(4, 'big') + one for one in records)
    return bytes(16) + body


GOOD = b'\x06configpayload'


@pytest.mark.parametrize(
    'odd',
    [b'', b'\x00', b'\xffab', b'\x02\xff\xfev', b'\x01a', b'\x06configv' * 9],
)
def test_odd_record_keeps_its_offset_and_the_others(odd: bytes) -> None:
    page = decode_page(frame(GOOD, odd, GOOD), 7, 1)
    good = page.records[::2]
    assert [record.offset for record in good] == [7, 9]
    assert [record.key for record in good] == ['config', 'config']
    assert_usable(page)


@pytest.mark.parametrize('body', [b'', bytes(9), frame(GOOD)[:-1], bytes(17)])
def test_page_that_is_cut_off_is_refused(body: bytes) -> None:
    with pytest.raises(PlatformFormatError):
        decode_page(body, 7, 1)


@pytest.mark.parametrize(
    'odd',
    [
        {},
        {'key': 5, 'value': ''},
        {'key': 'a', 'value': 'x'},
        {'key': 'a', 'value': '\u00e9'},
        {'key': 'a', 'value': '', 'offset': 'x'},
        {'key': '\ud800', 'value': ''},
        [],
        None,
    ],
)
def test_odd_item_of_an_answer_leaves_the_others(odd: object) -> None:
    payload = base64.b64encode(b'payload').decode()
    good = {'key': 'vm-1', 'value': payload, 'offset': 4}
    records = decode_items({'items': [good, odd, good]})
    found = [record.key for record in records if record.payload]
    assert found == ['vm-1', 'vm-1']
    assert_usable(records)


@pytest.mark.parametrize(
    'page',
    [
        {'items': [], 'has_more': True, 'end_offset': 1},
        {'items': [{'key': 'a', 'value': ''}], 'has_more': 1, 'end_offset': 1},
        {'items': [None], 'has_more': True, 'end_offset': 1},
    ],
)
async def test_pages_that_bring_nothing_new_end_the_list(
    monkeypatch: pytest.MonkeyPatch, page: dict[str, object]
) -> None:
    """A key that the store can't find again would be asked for forever."""
    answer = Answer(status=200, body=json.dumps(page).encode())
    monkeypatch.setattr(StubStore, '_list', lambda *_: answer)
    async with open_stub() as stub:
        store = Store(address=stub.address, epochs=StoreEpochs())
        await store.newest('keyed.daemons')
        assert len(stub.calls) <= 2
        store.close()
