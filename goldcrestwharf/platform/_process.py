"""Run a daemon as a process of the platform."""

import asyncio
import random
import signal
from functools import partial

from goldcrestwharf.background import start_tasks
from goldcrestwharf.loglines import EventLog, LineHandler, set_up_json_log
from goldcrestwharf.platform._announce import Announcer
from goldcrestwharf.platform._configuration_loader import ConfigurationLoader
from goldcrestwharf.platform._listeners import open_listeners
from goldcrestwharf.platform._metrics_endpoint import serve_metrics
from goldcrestwharf.platform._rollouts import OrderReader, StatusWriter
from goldcrestwharf.platform._settings_file import SettingsFile, find_settings
from goldcrestwharf.platform._store import Store
from goldcrestwharf.platform._watch import ConfigurationWatch
from goldcrestwharf.policy import PolicyHolder
from goldcrestwharf.proxy import (
    SuspendAwareEventLoop,
    make_daemon,
    stop_gracefully,
)

_log = EventLog(__name__)

#: Interval at which buffered log lines are written.
_LOG_WRITE_INTERVAL_S = 0.25

#: Interval at which the settings file is checked for changes.
_SETTINGS_CHECK_INTERVAL_S = 1.0


class PlatformProcess:
    """A daemon with its connections to the platform."""

    def __init__(self, *, settings: SettingsFile) -> None:
        """Build the daemon according to the settings."""
        rng = random.Random()
        loader = ConfigurationLoader(holder=PolicyHolder())
        cfg = settings.current
        self._settings = settings
        self._daemon = make_daemon(
            cfg=cfg.proxy,
            rng=rng,
            holder=loader.holder,
            offer=loader.offer,
        )
        self._watch = ConfigurationWatch(
            store=self._make_store(),
            loader=loader,
            rng=rng,
            role=self._daemon.reader_role,
            epochs=self._daemon.core.store_epochs,
        )
        self._watch.orders = OrderReader(
            rollouts=self._daemon.core.rollouts, clock=self._daemon.core.clock
        )
        self._statuses = StatusWriter(
            store=self._make_store(),
            statuses=self._daemon.rollout_statuses,
            rng=rng,
        )
        self._announcer = Announcer(
            daemon=self._daemon,
            store=self._make_store(),
            writes_per_s=cfg.store_writes_per_s,
        )

    async def run(self) -> None:
        """Serve until SIGTERM, then stop gracefully."""
        stopping = asyncio.Event()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._settings.reload)
        await self._open()
        cfg = self._settings.current
        tasks = start_tasks(
            {
                'configuration': self._watch.run,
                'announcement': self._announcer.run,
                'statuses': self._statuses.run,
                'seeds': partial(self._daemon.contact_seeds, cfg.seeds),
                'settings': self._watch_settings,
                'metrics': partial(
                    serve_metrics, cfg.host, self._daemon.core.caller_bounds
                ),
            },
        )
        await stopping.wait()
        await stop_gracefully(self._daemon)
        for task in tasks:
            task.cancel()

    def _make_store(self) -> Store:
        return Store(
            address=self._settings.current.store,
            epochs=self._daemon.core.store_epochs,
        )

    async def _open(self) -> None:
        cfg = self._settings.current
        await self._daemon.start()
        await open_listeners(self._daemon, cfg, self._make_store())
        _log.note('process.started', daemon=cfg.proxy.name, zone=cfg.proxy.zone)

    async def _watch_settings(self) -> None:
        while True:
            await asyncio.sleep(_SETTINGS_CHECK_INTERVAL_S)
            self._settings.check()


def main() -> None:
    """Run the daemon until the platform stops it."""
    with asyncio.Runner(loop_factory=SuspendAwareEventLoop) as runner:
        runner.run(run_process(set_up_json_log()))


async def run_process(lines: LineHandler) -> None:
    """Run the daemon according to the settings file."""
    writing = asyncio.get_running_loop().create_task(_write_log(lines))
    process = PlatformProcess(settings=SettingsFile(path=find_settings()))
    try:
        await process.run()
    finally:
        _log.note('process.stopped')
        _stop_writing(writing, lines)


def _stop_writing(writing: asyncio.Task[None], lines: LineHandler) -> None:
    writing.cancel()
    lines.flush_lines()


async def _write_log(lines: LineHandler) -> None:
    while True:
        await asyncio.sleep(_LOG_WRITE_INTERVAL_S)
        lines.flush_lines()
