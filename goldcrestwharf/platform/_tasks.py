"""Run the parts of a daemon side by side."""

import asyncio
from collections.abc import Coroutine, Mapping

from goldcrestwharf.loglines import EventLog

_log = EventLog(__name__)

Work = Coroutine[None, None, None]


def start_parts(parts: Mapping[str, Work]) -> list['asyncio.Task[None]']:
    """Start a task for each part; one that fails is logged by its name."""
    loop = asyncio.get_running_loop()
    return [
        loop.create_task(_report_failure(name, work))
        for name, work in parts.items()
    ]


async def _report_failure(name: str, work: Work) -> None:
    try:
        await work
    except Exception:
        _log.exception('task.failed', task=name)
