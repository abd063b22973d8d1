"""Run the stand-in log on a TCP port."""

import socket

import anyio
from anyio.abc import TaskStatus
from hypercorn.asyncio import serve
from hypercorn.config import Config

from goldcrestwharf.platform._memory import MemoryLog
from goldcrestwharf.platform._stand_in import make_app

_BACKLOG = 1024


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
    sock = _bind(address)
    host, port = sock.getsockname()
    cfg = Config()
    cfg.bind = [f'fd://{sock.detach()}']
    cfg.accesslog = None
    cfg.errorlog = None
    async with anyio.create_task_group() as tg:
        tg.start_soon(_release_readers, log, stopping)
        task_status.started(f'{host}:{port}')
        await serve(
            make_app(log),  # type: ignore[arg-type]
            cfg,
            shutdown_trigger=stopping.wait,
        )
        tg.cancel_scope.cancel()


async def _release_readers(log: MemoryLog, stopping: anyio.Event) -> None:
    await stopping.wait()
    log.release_readers()


def _bind(address: str) -> socket.socket:
    host, port = address.rsplit(':', 1)
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, int(port)))
    sock.listen(_BACKLOG)
    return sock
