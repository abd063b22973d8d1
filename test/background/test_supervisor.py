"""Check that a background task doesn't stay dead after a failure."""

import asyncio
import logging

import pytest

from goldcrestwharf.background import _supervisor, keep_running
from test.proxy.helper import open_vms, wait_until

FAILURES = (
    RecursionError(),
    OverflowError(),
    UnicodeError(),
    KeyError(),
    MemoryError(),
)


@pytest.mark.parametrize('failure', FAILURES)
async def test_task_that_failed_runs_again_until_it_returns(
    monkeypatch: pytest.MonkeyPatch,
    caplog: pytest.LogCaptureFixture,
    failure: Exception,
) -> None:
    monkeypatch.setattr(_supervisor, '_MIN_WAIT_S', 0)
    outcomes = [failure, failure, None]

    async def work() -> None:
        outcome = outcomes.pop(0)
        if outcome is not None:
            raise outcome

    await keep_running('part', work)
    failed = [one for one in caplog.records if one.levelno == logging.ERROR]
    assert {one.getMessage() for one in failed} == {'task.failed'}
    assert len(failed) == 2
    assert not outcomes


async def test_cancelled_task_doesnt_run_again() -> None:
    runs: list[int] = []

    async def work() -> None:
        runs.append(1)
        await asyncio.sleep(60)

    task = asyncio.create_task(keep_running('part', work))
    await wait_until(lambda: bool(runs))
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
    assert len(runs) == 1


@pytest.mark.parametrize('check', ['check', 'update_links'])
async def test_daemon_checks_its_streams_after_a_check_failed(
    monkeypatch: pytest.MonkeyPatch, check: str
) -> None:
    """Silent streams would never be closed again."""
    async with open_vms(1) as vms:
        fleet = vms[0].daemon._fleet
        calls: list[object] = []

        def fail_once(*found: object) -> None:
            calls.append(found)
            if len(calls) == 1:
                raise OverflowError('once')

        monkeypatch.setattr(fleet, check, fail_once)
        await wait_until(lambda: len(calls) > 1)
