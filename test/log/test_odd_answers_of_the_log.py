"""Check that an odd answer of the log doesn't stop the calls to it."""

import httpx
import pytest

from goldcrestwharf.log._answers import retry_after


@pytest.mark.parametrize('written', ['9' * 400, '9' * 5000, '-1', 'inf', ''])
def test_odd_retry_after_is_bounded(written: str) -> None:
    answer = httpx.Response(429, headers={'retry-after': written})
    assert 0 <= retry_after(answer) <= 60
