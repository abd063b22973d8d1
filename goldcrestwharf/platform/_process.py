"""Run one daemon as a process of the platform."""

import asyncio
import http
import os
import random
import signal
from pathlib import Path

from goldcrestwharf.http1 import Answer, HttpListener, Request
from goldcrestwharf.loglines import EventLog, LineHandler
from goldcrestwharf.platform._announce import announce
from goldcrestwharf.platform._heartbeats import HeartbeatReceiver
from goldcrestwharf.platform._names import SETTINGS_VARIABLE
from goldcrestwharf.platform._settings import (
    PlatformSettings,
    read_settings,
)
from goldcrestwharf.platform._store import Store
from goldcrestwharf.platform._values import PlatformFormatError
from goldcrestwharf.platform._watch import ConfigurationWatch
from goldcrestwharf.policy import PolicyHolder
from goldcrestwharf.proxy import make_daemon, stop_gracefully

_log = EventLog(__name__)

#: Seconds between two writes of the log.
_LOG_PERIOD_S = 0.25

#: Seconds between two looks at the settings file, which may change without a
#: signal.
_SETTINGS_PERIOD_S = 1.0


class PlatformProcess:
    """Join a daemon with what the platform calls and keeps."""

    def __init__(self, *, settings: PlatformSettings, path: Path) -> None:
        """Build the daemon; ``path`` is where settings are read anew."""
        rng = random.Random()
        holder = PolicyHolder()
        self._settings = settings
        self._path = path
        self._stamp = _find_stamp(path)
        self._stores = (
            Store(address=settings.store),
            Store(address=settings.store),
        )
        self._watch = ConfigurationWatch(
            store=self._stores[0],
            holder=holder,
            rng=rng,
        )
        self.daemon = make_daemon(
            cfg=settings.proxy,
            rng=rng,
            holder=holder,
            offer=self._watch.offer,
        )
        self._rng = rng
        self._stopping = asyncio.Event()

    async def run(self) -> None:
        """Serve until the platform stops the process."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        await self.daemon.start()
        listeners = await self._open_listeners()
        tasks = (
            loop.create_task(self._watch.run()),
            loop.create_task(
                announce(self.daemon, self._stores[1], self._rng),
            ),
            loop.create_task(self._follow_settings()),
        )
        _log.info('process.started', name=self._settings.proxy.name)
        await self._stopping.wait()
        await stop_gracefully(self.daemon)
        for task in tasks:
            task.cancel()
        for closable in (*listeners, *self._stores):
            closable.close()
        _log.info('process.stopped')

    async def _open_listeners(self) -> tuple[HttpListener, HttpListener]:
        heartbeats = HttpListener(
            handler=HeartbeatReceiver(daemon=self.daemon).answer,
        )
        await heartbeats.listen(self._settings.heartbeats)
        readiness = HttpListener(handler=self._answer_readiness)
        await readiness.listen(self._settings.readiness)
        return heartbeats, readiness

    async def _answer_readiness(self, req: Request) -> Answer:
        core = self.daemon.core
        has_policy = core.holder.current is not None
        is_ready = has_policy and not core.leaving.has_begun
        if is_ready:
            return Answer(status=http.HTTPStatus.OK)
        return Answer(status=http.HTTPStatus.SERVICE_UNAVAILABLE)

    async def _follow_settings(self) -> None:
        while True:
            await asyncio.sleep(_SETTINGS_PERIOD_S)
            if _find_stamp(self._path) != self._stamp:
                self._reload()

    def _reload(self) -> None:
        """Read the settings anew; what is not readable changes nothing."""
        self._stamp = _find_stamp(self._path)
        try:
            settings = read_settings(self._path)
        except (OSError, PlatformFormatError) as exc:
            _log.warning('settings.refused', cause=repr(exc))
            return
        changed = settings != self._settings
        self._settings = settings
        _log.info('settings.reloaded', changed=changed)


def _find_stamp(path: Path) -> int:
    try:
        return path.stat().st_mtime_ns
    except OSError:
        return 0


async def run_process(lines: LineHandler) -> None:
    """Run the daemon that the settings file describes."""
    path = Path(os.environ[SETTINGS_VARIABLE])
    writing = asyncio.get_running_loop().create_task(_write_out(lines))
    try:
        process = PlatformProcess(settings=read_settings(path), path=path)
        await process.run()
    finally:
        writing.cancel()
        lines.write_out()


async def _write_out(lines: LineHandler) -> None:
    while True:
        await asyncio.sleep(_LOG_PERIOD_S)
        lines.write_out()
