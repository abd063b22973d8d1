"""Serve an ASGI application to callers and stop gracefully."""

import http
import logging
from typing import Any
from urllib.parse import unquote

import anyio
import attrs
from anyio.abc import TaskStatus

from goldcrestwharf.http1 import (
    Answer,
    CallerLimits,
    HttpListener,
    Request,
    render_end_to_end,
)

_log = logging.getLogger(__name__)

#: Interval at which a stop checks for requests in flight.
_DRAIN_CHECK_INTERVAL_S = 0.02

#: Time in which the answers at the end of a stop are written.
_CUT_OFF_S = 0.05

_BODY = 'body'
_TYPE = 'type'


@attrs.define(kw_only=True, eq=False)
class EdgeServer:
    """An HTTP server of ``app`` on ``address`` (``host:port``, 0 for any port).

    ``graceful_timeout`` is the time, in seconds, that requests in flight
    have to finish once the server is stopped. A connection is closed only
    while it carries no request, or after a complete answer.
    """

    app: Any
    address: str
    limits: CallerLimits
    graceful_timeout: float = 30
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
        listener = HttpListener(
            handler=self._answer,
            limits=lambda: self.limits,
        )
        bound = await listener.listen(self.address)
        task_status.started(bound)
        _log.info('http.listening address=%s', bound)
        try:
            await self._serve(listener)
        finally:
            listener.close()
        self.stopped.set()

    def stop(self) -> None:
        """Stop accepting connections; requests in flight continue."""
        self._stopping.set()

    async def _serve(self, listener: HttpListener) -> None:
        await self._stopping.wait()
        await self._drain(listener)

    async def _drain(self, listener: HttpListener) -> None:
        listener.stop_accepting()
        with anyio.move_on_after(self.graceful_timeout) as scope:
            await _wait_idle(listener)
        if scope.cancelled_caught:
            _log.warning('http.cut_off address=%s', self.address)
            listener.cut_off()
            await anyio.sleep(_CUT_OFF_S)

    async def _answer(self, req: Request) -> Answer:
        exchange = _Exchange(req=req)
        try:
            await self.app(_make_scope(req), exchange.receive, exchange.send)
        finally:
            exchange.finished.set()
        return exchange.answer


async def _wait_idle(listener: HttpListener) -> None:
    is_idle = listener.is_idle
    while not is_idle:
        await anyio.sleep(_DRAIN_CHECK_INTERVAL_S)
        is_idle = listener.is_idle


def _make_error_answer() -> Answer:
    return Answer(status=http.HTTPStatus.INTERNAL_SERVER_ERROR)


@attrs.define(kw_only=True, eq=False)
class _Exchange:
    """A request in progress and the answer collected from the application."""

    req: Request
    answer: Answer = attrs.field(factory=_make_error_answer)
    finished: anyio.Event = attrs.field(factory=anyio.Event)
    _is_received: bool = False

    async def receive(self) -> dict[str, Any]:
        """Return the request, then a disconnect when the exchange ends."""
        if self._is_received:
            await self.finished.wait()
            return {_TYPE: 'http.disconnect'}
        self._is_received = True
        return {_TYPE: 'http.request', _BODY: self.req.body}

    async def send(self, event: dict[str, Any]) -> None:
        """Store the head or a part of the body of the answer."""
        if event[_TYPE] == 'http.response.start':
            head = render_end_to_end(
                list(event['headers']),
                without=frozenset(),
            )
            self.answer = Answer(status=event['status'], head=head)
        else:
            joined = self.answer.body + event.get(_BODY, b'')
            self.answer = attrs.evolve(self.answer, body=joined)


def _make_scope(req: Request) -> dict[str, Any]:
    raw_path, _, query = req.target.partition(b'?')
    return {
        _TYPE: 'http',
        'method': req.method.decode('ascii'),
        'path': unquote(raw_path.decode('latin-1')),
        'raw_path': raw_path,
        'query_string': query,
        'headers': [
            (name.lower(), header_value) for name, header_value in req.headers
        ],
        'client': (req.caller, 0),
    }
