"""Check which header fields are read as numbers."""

import sys

import pytest

from goldcrestwharf.hops._headers import find_int


@pytest.mark.parametrize(
    ('field', 'expected'),
    [
        (b'0', 0),
        (b'12', 12),
        (b'0' * 5000, 0),
        (b'%b12' % (b'0' * 5000), 12),
        (b'9' * 18, 10**18 - 1),
        (b'9' * 19, sys.maxsize),
        (b'9' * 5000, sys.maxsize),
        (b'', None),
        (b'-1', None),
        (b'1.0', None),
    ],
)
def test_number_of_any_length_is_read(
    field: bytes, expected: int | None
) -> None:
    """Guards against the limit on the digits of ``int``."""
    assert find_int([(b'count', field)], b'count') == expected
