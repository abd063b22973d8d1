"""Listen for connections from callers."""

import asyncio
import contextlib
import socket
from collections.abc import Callable

from goldcrestwharf.http1._caller_bounds import CallerBounds
from goldcrestwharf.http1._caller_conn import CallerConn
from goldcrestwharf.http1._limits import CallerLimits
from goldcrestwharf.http1._listener_state import (
    REFUSAL,
    Handler,
    ListenerState,
)
from goldcrestwharf.http1._messages import Answer
from goldcrestwharf.transfers import BodyBudget

#: Maximum number of connections that wait to be accepted.
_BACKLOG = 1024

#: Maximum number of connections that are accepted in one turn of the event
#: loop, before the limit on their number is checked.
_MAX_ACCEPTED = 32

#: Interval of the checks for idle and slow connections.
_SWEEP_INTERVAL_S = 0.5


class HttpListener:
    """An HTTP server that passes requests to a handler.

    ``limits`` returns the current limits; it is called at each use.
    """

    def __init__(
        self,
        *,
        handler: Handler,
        limits: Callable[[], CallerLimits] = CallerLimits,
        budget: BodyBudget | None = None,
        refusal: Answer = REFUSAL,
        bounds: CallerBounds | None = None,
    ) -> None:
        """Pass complete requests to ``handler``.

        Bodies take their memory from ``budget``, if there is one. ``refusal``
        answers the requests that :meth:`refuse_waiting` keeps from it.
        ``bounds`` are those of all listeners of the process.
        """
        loop = asyncio.get_running_loop()
        self.serving = ListenerState(
            handler=handler,
            limits=limits,
            clock=loop.time,
            budget=budget,
            refusal=refusal,
            bounds=bounds or CallerBounds(),
        )
        self._server: asyncio.Server | None = None
        self._sweeper: asyncio.TimerHandle | None = None

    async def listen(self, address: str) -> str:
        """Listen on ``address`` (``host:port``); return the bound address."""
        loop = asyncio.get_running_loop()
        listener = bind_listener(address)
        self._server = await loop.create_server(
            lambda: CallerConn(serving=self.serving),
            sock=listener,
            backlog=_MAX_ACCEPTED,
        )
        listener.listen(_BACKLOG)
        self._sweep()
        host, port = listener.getsockname()[:2]
        return f'{host}:{port}'

    @property
    def is_idle(self) -> bool:
        """Return whether all requests are answered and all answers sent."""
        return not self.count_unsent() and all(
            conn.is_idle for conn in self.serving.conns
        )

    def count_unsent(self) -> int:
        """Return the bytes of answers that wait for callers to read."""
        return sum(
            conn.transport.get_write_buffer_size()
            for conn in self.serving.conns
        )

    def drain(self) -> None:
        """Close connections after their last request; keep accepting."""
        self.serving.is_draining = True

    def stop_accepting(self) -> None:
        """Accept no new connections; close each after its request."""
        self.drain()
        if self._server is not None:
            _close_after_accepted(self._server)
        for conn in tuple(self.serving.conns):
            if conn.is_idle:
                conn.begin_close('stop')

    def refuse_waiting(self) -> None:
        """Pass no more requests to the handler; answer them at once.

        A request that is incomplete when its connection closes is refused as
        well.
        """
        self.serving.is_refusing = True

    def cut_off(self) -> None:
        """Answer the requests in progress now, and those that wait.

        The outcome of those in progress is unknown. The answers are written
        within the next turns of the event loop.
        """
        self.refuse_waiting()
        self.serving.cut_off()

    def close(self) -> None:
        """Stop listening and close all connections."""
        self.serving.is_closed = True
        if self._server is not None:
            _close_after_accepted(self._server)
        if self._sweeper is not None:
            self._sweeper.cancel()
        for conn in tuple(self.serving.conns):
            conn.close()

    def _sweep(self) -> None:
        loop = asyncio.get_running_loop()
        # A connection that fails must not end the sweeps.
        self._sweeper = loop.call_later(_SWEEP_INTERVAL_S, self._sweep)
        now = loop.time()
        for conn in tuple(self.serving.conns):
            conn.close_on_timeout(now)
        self.serving.bounds.memory.relieve()


def _close_after_accepted(server: asyncio.Server) -> None:
    """Stop listening, and close a server once its connections are registered.

    The event loop would drop the others without closing them.
    """
    loop = asyncio.get_running_loop()
    for listener in server.sockets:
        loop.remove_reader(listener.fileno())
        # Frees the address at once; fails if it was done before.
        with contextlib.suppress(OSError):
            listener.shutdown(socket.SHUT_RDWR)
    loop.call_soon(server.close)


def bind_listener(address: str) -> socket.socket:
    """Return a socket bound to ``host:port``."""
    host, _, port = address.rpartition(':')
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, int(port)))
    listener.setblocking(False)
    return listener
