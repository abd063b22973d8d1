"""Run a daemon."""

import random
import signal
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated

import anyio
import typer
from returns.result import Success

from goldcrestwharf.daemon import Daemon
from goldcrestwharf.settings import DaemonSettings, load_settings
from goldcrestwharf.telemetry import set_up_logs, set_up_telemetry
from goldcrestwharf.timers import SystemTimers
from goldcrestwharf.ui._app import app
from goldcrestwharf.ui._output import ExitCode, exit_with


@app.command(
    name='daemon',
    epilog='Example: goldcrestwharf daemon --settings vm-1.jsonc',
)
def daemon_command(
    settings: Annotated[
        Path,
        typer.Option(help='Settings file of this VM.'),
    ],
) -> None:
    """Run the daemon of this VM until SIGTERM, which stops it gracefully."""
    cfg = _load(settings)
    set_up_logs(cfg.log)
    signals = set_up_telemetry(cfg.telemetry, vm=cfg.vm, zone=cfg.zone)
    try:
        anyio.run(_run, cfg)
    except* OSError as failures:
        exit_with(
            ExitCode.USAGE,
            (_describe(failure) for failure in _flatten(failures)),
        )
    finally:
        signals.shut_down()


def _load(path: Path) -> DaemonSettings:
    if not path.is_file():
        exit_with(
            ExitCode.USAGE, [f'{path}: no such file; name a settings file']
        )
    loaded = load_settings(path)
    if not isinstance(loaded, Success):
        exit_with(ExitCode.REFUSED, loaded.failure())
    cfg: DaemonSettings = loaded.unwrap()
    return cfg


def _flatten(
    group: BaseExceptionGroup[BaseException],
) -> Iterator[BaseException]:
    for failure in group.exceptions:
        if isinstance(failure, BaseExceptionGroup):
            yield from _flatten(failure)
        else:
            yield failure


def _describe(failure: BaseException) -> str:
    return (
        f'the daemon could not start: {failure}; check that the addresses '
        'in the settings belong to this VM and that no other process '
        'listens there'
    )


async def _run(cfg: DaemonSettings) -> None:
    daemon = Daemon(
        cfg=cfg,
        timers=SystemTimers(),
        rng=random.Random(),
    )
    async with anyio.create_task_group() as tg:
        tg.start_soon(_stop_on_signal, daemon, tg.cancel_scope)
        await daemon.run()
        tg.cancel_scope.cancel()


async def _stop_on_signal(daemon: Daemon, scope: anyio.CancelScope) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
        await anext(received)
        daemon.stop()
        await anext(received)
        # A second signal skips the rest of the graceful shutdown.
        scope.cancel()
