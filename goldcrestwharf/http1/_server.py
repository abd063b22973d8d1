"""Listen for callers."""

import asyncio
import socket
from collections.abc import Callable

from goldcrestwharf.http1._caller_conn import CallerConn, Handler, Serving
from goldcrestwharf.http1._limits import CallerLimits

#: Connections that the kernel holds until they are accepted.
_BACKLOG = 1024

#: Seconds between two looks at idle and slow connections.
_SWEEP_PERIOD_S = 0.5


class HttpListener:
    """Serve a handler on one address.

    ``limits`` is asked for the bounds in force at each use.
    """

    def __init__(
        self,
        *,
        handler: Handler,
        limits: Callable[[], CallerLimits] = CallerLimits,
    ) -> None:
        """Hand whole requests to ``handler``."""
        loop = asyncio.get_running_loop()
        self.serving = Serving(
            handler=handler,
            limits=limits,
            clock=loop.time,
        )
        self._server: asyncio.Server | None = None
        self._sweeper: asyncio.TimerHandle | None = None

    async def listen(self, address: str) -> str:
        """Bind ``address`` (``host:port``); return the bound one."""
        loop = asyncio.get_running_loop()
        listener = bind_listener(address)
        self._server = await loop.create_server(
            lambda: CallerConn(serving=self.serving),
            sock=listener,
            backlog=_BACKLOG,
        )
        self._sweep()
        host, port = listener.getsockname()[:2]
        return f'{host}:{port}'

    @property
    def is_idle(self) -> bool:
        """Tell whether no request is in progress or on its way."""
        return all(conn.is_idle for conn in self.serving.conns)

    def drain(self) -> None:
        """Ask callers to close; requests are still served."""
        self.serving.is_draining = True

    def stop_accepting(self) -> None:
        """Take no new connections; end each behind its request."""
        self.drain()
        if self._server is not None:
            self._server.close()
        for conn in tuple(self.serving.conns):
            if conn.is_idle:
                conn.close()

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        if self._sweeper is not None:
            self._sweeper.cancel()
        for conn in tuple(self.serving.conns):
            conn.close()

    def _sweep(self) -> None:
        loop = asyncio.get_running_loop()
        now = loop.time()
        for conn in tuple(self.serving.conns):
            conn.check(now)
        self._sweeper = loop.call_later(_SWEEP_PERIOD_S, self._sweep)


def bind_listener(address: str) -> socket.socket:
    """Return a listening socket for ``host:port``."""
    host, _, port = address.rpartition(':')
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, int(port)))
    listener.setblocking(False)
    return listener
