"""Serve an ASGI application with hypercorn in the current event loop."""

import asyncio
import logging
import socket
from typing import Any

import anyio
import attrs
from anyio.abc import TaskStatus
from hypercorn.asyncio import serve
from hypercorn.config import Config

_BACKLOG = 1024

#: Graceful timeout when the task of the server is cancelled.
_CANCEL_TIMEOUT_S = 0.1
_log = logging.getLogger(__name__)


@attrs.define(kw_only=True, eq=False)
class HttpServer:
    """An HTTP server of ``app`` on ``address`` (``host:port``, 0 for any port).

    ``graceful_timeout`` is the time, in seconds, that requests in flight
    have to finish once the server is stopped. ``stopped`` is set after the
    last one has been answered. ``adds_date`` has to be off if the
    application sets the ``date`` header itself.
    """

    app: Any
    address: str
    graceful_timeout: float = 30
    keep_alive_timeout: float = 75
    max_header_bytes: int = 65_536
    adds_date: bool = True
    stopped: anyio.Event = attrs.field(factory=anyio.Event, init=False)
    _stopping: anyio.Event = attrs.field(factory=anyio.Event, init=False)

    async def run(
        self,
        *,
        task_status: TaskStatus[str] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until :meth:`stop`, then finish the requests in flight.

        Reports the bound ``host:port`` to ``task_status``.
        """
        listener = _listen(self.address)
        bound = _format_address(listener)
        cfg = self._make_config(listener)
        task_status.started(bound)
        _log.info('http.listening address=%s', bound)
        async with anyio.create_task_group() as tg:
            tg.start_soon(self._stop_on_cancel, cfg)
            # hypercorn leaves its task marked as cancelled after a stop, so it
            # runs in a task of its own.
            tg.start_soon(self._serve, cfg)
            await self.stopped.wait()
            tg.cancel_scope.cancel()

    def stop(self) -> None:
        """Stop accepting connections; requests in flight continue."""
        self._stopping.set()

    async def _serve(self, cfg: Config) -> None:
        # hypercorn fails if it is cancelled, so it is shielded and stopped by
        # its shutdown trigger.
        with anyio.CancelScope(shield=True):
            await self._serve_shielded(cfg)
        self.stopped.set()

    async def _serve_shielded(self, cfg: Config) -> None:
        try:
            await serve(self.app, cfg, shutdown_trigger=self._stopping.wait)
        except (asyncio.CancelledError, asyncio.InvalidStateError):
            # hypercorn raises these after the graceful timeout.
            if not self._stopping.is_set():
                raise
            _log.warning('http.cut_off address=%s', self.address)

    async def _stop_on_cancel(self, cfg: Config) -> None:
        try:
            await anyio.sleep_forever()
        finally:
            if not self._stopping.is_set():
                cfg.graceful_timeout = _CANCEL_TIMEOUT_S
            self.stop()

    def _make_config(self, listener: socket.socket) -> Config:
        cfg = Config()
        cfg.bind = [f'fd://{listener.detach()}']
        cfg.graceful_timeout = self.graceful_timeout
        cfg.keep_alive_timeout = self.keep_alive_timeout
        cfg.h11_max_incomplete_size = self.max_header_bytes
        cfg.include_server_header = False
        cfg.include_date_header = self.adds_date
        cfg.accesslog = None
        cfg.errorlog = logging.getLogger('hypercorn.error')
        return cfg


def _listen(address: str) -> socket.socket:
    host, port = address.rsplit(':', 1)
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host.strip('[]'), int(port)))
    listener.listen(_BACKLOG)
    listener.setblocking(False)
    return listener


def _format_address(listener: socket.socket) -> str:
    host, port = listener.getsockname()[:2]
    return f'{host}:{port}'
