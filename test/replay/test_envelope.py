import pytest

from goldcrestwharf.replay import SkipReason, pack_record, unpack_record
from goldcrestwharf.wire import encode
from test.replay.helper import make_publish, make_set

PUBLISH = make_publish(make_set('menu'))
BODY = pack_record(PUBLISH)


def test_a_record_survives_packing_and_unpacking() -> None:
    assert unpack_record(BODY) == PUBLISH


@pytest.mark.parametrize('index', range(0, len(BODY), 7))
def test_any_flipped_bit_is_detected(index: int) -> None:
    damaged = bytearray(BODY)
    damaged[index] ^= 0x10
    reason = unpack_record(bytes(damaged))
    assert reason in {SkipReason.CORRUPT, SkipReason.FOREIGN}


@pytest.mark.parametrize(
    ('body', 'reason'),
    [
        (b'', SkipReason.FOREIGN),
        (b'{"json": "of another system"}', SkipReason.FOREIGN),
        (BODY[:3], SkipReason.FOREIGN),
        (BODY[:9], SkipReason.CORRUPT),
        (BODY[:-1], SkipReason.CORRUPT),
        (b''.join((BODY, b'\x00')), SkipReason.CORRUPT),
        (encode(PUBLISH), SkipReason.FOREIGN),
    ],
)
def test_invalid_bodies_are_classified(body: bytes, reason: SkipReason) -> None:
    assert unpack_record(body) is reason
