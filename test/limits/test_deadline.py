import pytest

from goldcrestwharf.limits import Deadline
from goldcrestwharf.timers import ManualTimers


@pytest.mark.parametrize(
    ('header', 'expected'),
    [
        (None, 2),
        ('', 2),
        ('500', 0.5),
        (' 500 ', 0.5),
        ('0', 0),
        ('9999999999', 2),
        ('-5', 2),
        ('1.5', 2),
        ('soon', 2),
        ('٣', 2),
        ('9' * 5000, 2),
    ],
)
def test_header_can_only_shorten_the_limit(
    header: str | None,
    expected: float,
) -> None:
    deadline = Deadline.parse(header, timers=ManualTimers(), limit=2)
    assert deadline.remaining() == expected


async def test_deadline_expires() -> None:
    timers = ManualTimers()
    deadline = Deadline(timers=timers, seconds=2)
    await timers.advance(0.5)
    assert deadline.to_header() == '1500'
    assert not deadline.is_expired
    await timers.advance(2)
    assert deadline.remaining() == 0
    assert deadline.is_expired
