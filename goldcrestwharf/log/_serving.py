"""Run the stand-in log on a TCP port."""

import anyio
from anyio.abc import TaskStatus

from goldcrestwharf.log._memory import MemoryLog
from goldcrestwharf.log._stand_in import make_app
from goldcrestwharf.servers import HttpServer

_GRACEFUL_TIMEOUT = 10


async def serve_log(
    address: str,
    log: MemoryLog,
    *,
    stopping: anyio.Event,
    task_status: TaskStatus[str] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve ``log`` on ``address`` until ``stopping`` is set.

    ``task_status`` gets the bound ``host:port``. Long polls are answered at
    once when the server stops; what is in flight is finished.
    """
    server = HttpServer(
        app=make_app(log),
        address=address,
        graceful_timeout=_GRACEFUL_TIMEOUT,
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
