"""Serve callers with an ASGI application, and cut nobody off at a stop."""

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

#: Seconds between two looks at what is in flight during a stop.
_LOOK_S = 0.02

_BODY = 'body'
_TYPE = 'type'


@attrs.define(kw_only=True, eq=False)
class EdgeServer:
    """Serve ``app`` on ``address`` (``host:port``, port 0 for any).

    ``graceful_timeout`` is in seconds: how long requests in flight may take
    once the server has been told to stop. A connection is closed only while
    it carries no request, or behind a whole answer.
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
        """Serve until :meth:`stop`, then finish what is in flight.

        ``task_status`` gets the bound ``host:port``.
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
        """Stop accepting; requests in flight go on."""
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

    async def _answer(self, req: Request) -> Answer:
        exchange = _Exchange(req=req)
        try:
            await self.app(_make_scope(req), exchange.receive, exchange.send)
        finally:
            exchange.over.set()
        return exchange.answer


async def _wait_idle(listener: HttpListener) -> None:
    is_idle = listener.is_idle
    while not is_idle:
        await anyio.sleep(_LOOK_S)
        is_idle = listener.is_idle


def _make_failure() -> Answer:
    return Answer(status=http.HTTPStatus.INTERNAL_SERVER_ERROR)


@attrs.define(kw_only=True, eq=False)
class _Exchange:
    """Hand a request to the application and collect its answer."""

    req: Request
    answer: Answer = attrs.field(factory=_make_failure)
    over: anyio.Event = attrs.field(factory=anyio.Event)
    _was_read: bool = False

    async def receive(self) -> dict[str, Any]:
        """Return the request once, and the end of the exchange after."""
        if self._was_read:
            await self.over.wait()
            return {_TYPE: 'http.disconnect'}
        self._was_read = True
        return {_TYPE: 'http.request', _BODY: self.req.body}

    async def send(self, event: dict[str, Any]) -> None:
        """Take in the head or the body of the answer."""
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
        'headers': [(name.lower(), sent) for name, sent in req.headers],
        'client': (req.caller, 0),
    }
