"""Check that requests in progress can be ended at any moment."""

import asyncio

import pytest

from goldcrestwharf.proxy._answer_timeouts import AnswerTimeouts

NEVER = 3600


async def wait_in(timeouts: AnswerTimeouts, due_in: float) -> None:
    due_at = asyncio.get_running_loop().time() + due_in
    async with timeouts.limit(due_at):
        await asyncio.sleep(NEVER)


@pytest.mark.parametrize('due_in', [NEVER, 0])
async def test_request_times_out_when_all_are_ended(due_in: float) -> None:
    """One that times out at that moment can't be given another time."""
    timeouts = AnswerTimeouts()
    waiting = asyncio.create_task(wait_in(timeouts, due_in))
    await asyncio.sleep(0)
    loop = asyncio.get_running_loop()
    ended = loop.create_future()

    def end_all() -> None:
        try:
            timeouts.end_all()
        except RuntimeError as exc:
            ended.set_exception(exc)
        else:
            ended.set_result(None)

    # It runs between the timeout and the end of the request.
    loop.call_at(loop.time(), end_all)
    with pytest.raises(TimeoutError):
        await waiting
    await ended
