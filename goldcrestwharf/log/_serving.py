"""HTTP server of the in-memory log."""

import anyio
from anyio.abc import TaskStatus

from goldcrestwharf.log._app import make_app
from goldcrestwharf.log._memory import MemoryLog
from goldcrestwharf.servers import HttpServer

_GRACEFUL_TIMEOUT_S = 10


async def serve_log(
    address: str,
    log: MemoryLog,
    *,
    stopping: anyio.Event,
    task_status: TaskStatus[str] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve ``log`` on ``address`` until ``stopping`` is set.

    ``task_status`` gets the bound ``host:port``. When the server stops, long
    polls return at once and requests in flight are completed.
    """
    server = HttpServer(
        app=make_app(log),
        address=address,
        graceful_timeout=_GRACEFUL_TIMEOUT_S,
    )
    async with anyio.create_task_group() as tg:
        tg.start_soon(_stop, server, log, stopping)
        await server.run(task_status=task_status)


async def _stop(
    server: HttpServer,
    log: MemoryLog,
    stopping: anyio.Event,
) -> None:
    await stopping.wait()
    log.release_readers()
    server.stop()
