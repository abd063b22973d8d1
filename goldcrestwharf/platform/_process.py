"""Run one daemon as a process of the platform."""

import asyncio
import random
import signal

from goldcrestwharf.loglines import EventLog, LineHandler, set_up_json_log
from goldcrestwharf.platform._announce import announce
from goldcrestwharf.platform._intake import ConfigurationIntake
from goldcrestwharf.platform._listeners import open_listeners
from goldcrestwharf.platform._metrics_address import serve_metrics
from goldcrestwharf.platform._settings_file import SettingsFile, find_settings
from goldcrestwharf.platform._store import Store
from goldcrestwharf.platform._tasks import start_parts
from goldcrestwharf.platform._watch import ConfigurationWatch
from goldcrestwharf.policy import PolicyHolder
from goldcrestwharf.proxy import make_daemon, stop_gracefully

_log = EventLog(__name__)

#: Seconds between two writes of the log.
_LOG_PERIOD_S = 0.25

#: Seconds between two looks at the settings file.
_SETTINGS_PERIOD_S = 1.0


class PlatformProcess:
    """Join a daemon with what the platform calls and keeps."""

    def __init__(self, *, settings: SettingsFile) -> None:
        """Build the daemon that the settings describe."""
        rng = random.Random()
        intake = ConfigurationIntake(holder=PolicyHolder())
        cfg = settings.current
        self._settings = settings
        self._daemon = make_daemon(
            cfg=cfg.proxy,
            rng=rng,
            holder=intake.holder,
            offer=intake.offer,
        )
        self._watch = ConfigurationWatch(
            store=Store(address=cfg.store),
            intake=intake,
            rng=rng,
            duty=self._daemon.reader_role,
        )

    async def run(self) -> None:
        """Serve until the platform stops the process."""
        stopping = asyncio.Event()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._settings.reload)
        await self._open()
        store = self._settings.current.store
        tasks = start_parts(
            {
                'configuration': self._watch.run(),
                'announcement': announce(self._daemon, store),
                'seeds': self._daemon.contact_seeds(
                    self._settings.current.seeds
                ),
                'settings': self._follow_settings(),
                'metrics': serve_metrics(self._settings.current.host),
            },
        )
        await stopping.wait()
        await stop_gracefully(self._daemon)
        for task in tasks:
            task.cancel()

    async def _open(self) -> None:
        cfg = self._settings.current
        await self._daemon.start()
        await open_listeners(self._daemon, cfg)
        _log.note('process.started', daemon=cfg.proxy.name, zone=cfg.proxy.zone)

    async def _follow_settings(self) -> None:
        while True:
            await asyncio.sleep(_SETTINGS_PERIOD_S)
            self._settings.check()


def main() -> None:
    """Run the daemon until the platform stops it."""
    asyncio.run(run_process(set_up_json_log()))


async def run_process(lines: LineHandler) -> None:
    """Run the daemon that the settings file describes."""
    writing = asyncio.get_running_loop().create_task(_write_out(lines))
    process = PlatformProcess(settings=SettingsFile(path=find_settings()))
    try:
        await process.run()
    finally:
        _log.note('process.stopped')
        _finish_writing(writing, lines)


def _finish_writing(writing: asyncio.Task[None], lines: LineHandler) -> None:
    writing.cancel()
    lines.flush_lines()


async def _write_out(lines: LineHandler) -> None:
    while True:
        await asyncio.sleep(_LOG_PERIOD_S)
        lines.flush_lines()
