"""Run background tasks, and run them again after a failure."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping

from goldcrestwharf.loglines import EventLog

_log = EventLog(__name__)

#: Bounds of the wait before a failed task runs again, in seconds.
_MIN_WAIT_S = 0.1
_MAX_WAIT_S = 5.0

#: Seconds without a failure after which the wait is short again.
_STABLE_AFTER_S = 60.0

Work = Callable[[], Awaitable[None]]


def start_tasks(works: Mapping[str, Work]) -> list['asyncio.Task[None]']:
    """Start a task for each work by its name, as :func:`keep_running`."""
    loop = asyncio.get_running_loop()
    return [
        loop.create_task(keep_running(name, work))
        for name, work in works.items()
    ]


async def keep_running(name: str, work: Work) -> None:
    """Run ``work`` until it returns; after an exception, run it again.

    The wait doubles with each failure. An exception is a defect and is
    logged, but the task must not stay dead because of what was read once.
    """
    loop = asyncio.get_running_loop()
    wait = _MIN_WAIT_S
    while True:
        began_at = loop.time()
        try:
            await work()
        except Exception:
            if loop.time() - began_at > _STABLE_AFTER_S:
                wait = _MIN_WAIT_S
            _log.exception('task.failed', task=name, retry_s=wait)
        else:
            return
        await asyncio.sleep(wait)
        wait = min(wait * 2, _MAX_WAIT_S)
