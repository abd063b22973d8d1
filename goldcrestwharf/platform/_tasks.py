"""Run the background tasks of a daemon."""

import asyncio
from collections.abc import Coroutine, Mapping

from goldcrestwharf.loglines import EventLog

_log = EventLog(__name__)

TaskCoroutine = Coroutine[None, None, None]


def start_tasks(
    parts: Mapping[str, TaskCoroutine],
) -> list['asyncio.Task[None]']:
    """Start a task for each coroutine; log a failed one by its name."""
    loop = asyncio.get_running_loop()
    return [
        loop.create_task(_run_logged(name, coroutine))
        for name, coroutine in parts.items()
    ]


async def _run_logged(name: str, coroutine: TaskCoroutine) -> None:
    try:
        await coroutine
    except Exception:
        _log.exception('task.failed', task=name)
