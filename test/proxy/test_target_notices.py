"""Test what a target's answers say about the target itself."""

import pytest

from goldcrestwharf.http1 import Response
from goldcrestwharf.proxy import HeaderNames
from goldcrestwharf.proxy._target_notices import TargetNotices, read_notices

NAMES = HeaderNames().lower()


def read(*headers: tuple[bytes, bytes]) -> TargetNotices:
    response = Response(
        status=200, headers=list(headers), body=b'', can_reuse=True
    )
    return read_notices(response, NAMES)


def test_answer_without_notices_has_neither_limit_nor_leaving() -> None:
    assert read((b'Request-Id', b'r-1')) == TargetNotices()


def test_limit_and_leaving_are_read() -> None:
    notices = read((b'Target-Limit', b'54.8'), (b'target-leaving', b'1'))
    assert notices == TargetNotices(limit=54.8, is_leaving=True)


@pytest.mark.parametrize(
    'written', [b'', b'many', b'nan', b'inf', b'-1', b'1,5']
)
def test_unreadable_limit_is_no_limit(written: bytes) -> None:
    assert read((b'Target-Limit', written)) == TargetNotices()


@pytest.mark.parametrize('written', [b'', b'0', b'no'])
def test_other_texts_than_one_do_not_mean_leaving(written: bytes) -> None:
    assert read((b'Target-Leaving', written)) == TargetNotices()
