"""Test which requests to targets count as the same."""

import pytest

from goldcrestwharf.proxy import HeaderNames
from goldcrestwharf.proxy._fingerprint import fingerprint_of_head

NAMES = HeaderNames().lower()
HEAD = (
    b'GET /menu/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: r-1\r\n'
    b'Caller-Service: kitchen\r\n'
)
SAME = fingerprint_of_head(HEAD, b'soup', NAMES)


def test_another_id_does_not_change_the_fingerprint() -> None:
    other = HEAD.replace(b'r-1', b'r-2')
    assert fingerprint_of_head(other, b'soup', NAMES) == SAME


@pytest.mark.parametrize(
    ('old', 'new'),
    [
        (b'GET', b'PUT'),
        (b'/menu/1', b'/menu/2'),
        (b'shop.', b'bar.'),
        (b'kitchen', b'bar'),
    ],
)
def test_other_parts_change_the_fingerprint(old: bytes, new: bytes) -> None:
    other = HEAD.replace(old, new)
    assert fingerprint_of_head(other, b'soup', NAMES) != SAME
    assert fingerprint_of_head(HEAD, b'tea', NAMES) != SAME
