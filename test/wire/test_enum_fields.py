import enum

import attrs
import msgpack
import pytest

from goldcrestwharf.errors import WireFormatError
from goldcrestwharf.wire import decode, encode, message


class Colour(enum.StrEnum):
    RED = 'red'


@message('test.coloured')
@attrs.frozen(kw_only=True)
class Coloured:
    colour: Colour


def test_enum_field_is_decoded_to_its_type() -> None:
    coloured = decode(encode(Coloured(colour=Colour.RED)))
    assert coloured.colour is Colour.RED


@pytest.mark.parametrize('raw', ['blue', 1, None])
def test_unknown_enum_value_is_malformed(raw: object) -> None:
    packed = msgpack.packb(['test.coloured', {'colour': raw}])
    with pytest.raises(WireFormatError):
        decode(packed)
