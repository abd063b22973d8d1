"""Run the local implementation of the platform's log."""

import functools
import signal
from typing import Annotated

import anyio
import typer

from goldcrestwharf.log import LogLimits, MemoryLog, serve_log
from goldcrestwharf.timers import SystemTimers
from goldcrestwharf.ui._app import app
from goldcrestwharf.ui._output import print_line


@app.command(name='platform')
def platform_command(
    listen: Annotated[
        str,
        typer.Option(help='Address to serve, HOST:PORT.'),
    ] = '127.0.0.1:7800',
    retention_records: Annotated[
        int | None,
        typer.Option(help='Records kept of each stream.', min=1),
    ] = None,
    retention_s: Annotated[
        float | None,
        typer.Option(help='Seconds for which a record is kept.', min=0),
    ] = None,
    appends_per_s: Annotated[
        int | None,
        typer.Option(help='Appends accepted per second.', min=1),
    ] = None,
) -> None:
    """Run a small in-memory log in place of the platform's, for tests."""
    limits = LogLimits(
        retention_records=retention_records,
        retention=retention_s,
        appends_per_second=appends_per_s,
    )
    anyio.run(functools.partial(_serve, listen, limits))


async def _serve(listen: str, limits: LogLimits) -> None:
    log = MemoryLog(timers=SystemTimers(), limits=limits)
    stopping = anyio.Event()
    async with anyio.create_task_group() as tg:
        await tg.start(_stop_on_signal, stopping)
        serve = functools.partial(serve_log, stopping=stopping)
        bound: str = await tg.start(serve, listen, log)
        print_line(f'platform log on http://{bound}')


async def _stop_on_signal(
    stopping: anyio.Event,
    *,
    task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        task_status.started()
        async for _ in signals:
            stopping.set()
            break
