"""Test which requests to targets count as the same."""

import pytest

from goldcrestwharf.proxy import HeaderNames
from goldcrestwharf.proxy._fingerprint import fingerprints_of_head

NAMES = HeaderNames().lower()
HEAD = (
    b'GET /menu/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: r-1\r\n'
    b'Caller-Service: kitchen\r\n'
)
SAME = fingerprints_of_head(HEAD, b'soup', NAMES)


def test_another_id_does_not_change_the_fingerprints() -> None:
    other = HEAD.replace(b'r-1', b'r-2')
    assert fingerprints_of_head(other, b'soup', NAMES) == SAME


def test_another_caller_changes_only_the_fingerprint_for_the_caller() -> None:
    other = HEAD.replace(b'kitchen', b'bar')
    for_all, for_caller = fingerprints_of_head(other, b'soup', NAMES)
    assert for_all == SAME[0]
    assert for_caller != SAME[1]


@pytest.mark.parametrize(
    ('old', 'new', 'body'),
    [
        (b'GET', b'PUT', b'soup'),
        (b'/menu/1', b'/menu/2', b'soup'),
        (b'shop.', b'bar.', b'soup'),
        (b'', b'', b'tea'),
    ],
)
def test_other_parts_change_both_fingerprints(
    old: bytes,
    new: bytes,
    body: bytes,
) -> None:
    other = fingerprints_of_head(HEAD.replace(old, new, 1), body, NAMES)
    assert not set(other) & set(SAME)
