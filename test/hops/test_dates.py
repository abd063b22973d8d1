"""Check that each answer has exactly one date, the target's if it sent one."""

import pytest

from goldcrestwharf.hops import FinalAnswer
from goldcrestwharf.hops._asgi import write_answer

TARGET_DATE = (b'date', b'Tue, 01 Dec 2026 12:00:00 GMT')


@pytest.mark.parametrize('headers', [(), (TARGET_DATE,)])
async def test_answer_has_one_date(
    headers: tuple[tuple[bytes, bytes], ...],
) -> None:
    sent: list[dict[str, object]] = []

    async def send(event: dict[str, object]) -> None:
        sent.append(event)

    await write_answer(send, FinalAnswer(status=200, headers=headers))
    dates = [field for field in sent[0]['headers'] if field[0] == b'date']
    assert len(dates) == 1
    assert not headers or dates == [TARGET_DATE]
