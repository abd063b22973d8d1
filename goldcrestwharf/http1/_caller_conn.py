"""Serve the requests of one caller's connection, one after the other."""

import asyncio
import http
from collections.abc import Awaitable, Callable
from typing import Any

import attrs

from goldcrestwharf.http1._limits import CallerLimits
from goldcrestwharf.http1._messages import Answer, Request
from goldcrestwharf.http1._request_reader import (
    BadRequestError,
    RequestReader,
)
from goldcrestwharf.loglines import EventLog

_log = EventLog(__name__)

#: Requests sent ahead of their answers beyond which reading pauses.
_MAX_AHEAD = 8

_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'

Handler = Callable[[Request], Awaitable[Answer]]


@attrs.define(kw_only=True, eq=False)
class Serving:
    """Hold what all connections of a listener share.

    While ``is_draining`` each answer asks the caller to close.
    """

    handler: Handler
    limits: Callable[[], CallerLimits]
    clock: Callable[[], float]
    conns: set['CallerConn'] = attrs.field(factory=set)
    is_draining: bool = False
    in_flight: int = 0
    last_request_at: float = 0


class CallerConn(asyncio.Protocol):
    """Read requests, hand them to the handler and write its answers.

    A caller that hangs up cancels its request.
    """

    def __init__(self, *, serving: Serving) -> None:
        """Serve by what the listener shares."""
        self.idle_since = serving.clock()
        self._serving = serving
        self._reader = RequestReader(
            limits=serving.limits,
            clock=serving.clock,
        )
        self._transport: Any = None
        self._caller = ''
        self._task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to read."""
        self._transport = transport
        peer = transport.get_extra_info('peername')
        self._caller = peer[0] if peer else ''
        self._serving.conns.add(self)

    def data_received(self, data: bytes) -> None:
        """Take in bytes of requests."""
        try:
            self._reader.feed(data)
        except BadRequestError as exc:
            is_busy = self._task is not None
            _reject(self._transport, exc.status, is_busy=is_busy)
            return
        if self._reader.expects_continue:
            self._reader.expects_continue = False
            self._transport.write(_CONTINUE)
        if len(self._reader.complete) > _MAX_AHEAD:
            self._transport.pause_reading()
        self._start_next()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in progress."""
        self._serving.conns.discard(self)
        if self._task is not None:
            self._task.cancel()

    def check(self, now: float) -> None:
        """Close what has been idle, or slow with its head, for too long."""
        limits = self._serving.limits()
        waits_since = self._reader.waits_since
        if self._task is not None:
            return
        if waits_since is not None:
            if now - waits_since > limits.head_timeout:
                status = http.HTTPStatus.REQUEST_TIMEOUT
                _reject(self._transport, status, is_busy=False)
        elif now - self.idle_since > limits.idle_timeout:
            self.close()

    def close(self) -> None:
        """Close once what was written has left."""
        self._transport.close()

    @property
    def is_idle(self) -> bool:
        """Tell whether no request is in progress or on its way."""
        return self._task is None and self._reader.waits_since is None

    def _start_next(self) -> None:
        if self._task is None and self._reader.complete:
            req = self._reader.complete.popleft()
            req.caller = self._caller
            serving = self._serving
            serving.in_flight += 1
            serving.last_request_at = serving.clock()
            self._task = asyncio.get_running_loop().create_task(
                self._serve(req),
            )

    async def _serve(self, req: Request) -> None:
        try:
            answer = await self._serving.handler(req)
        except Exception:
            _log.exception('caller.handler_failed')
            answer = Answer(status=http.HTTPStatus.INTERNAL_SERVER_ERROR)
        finally:
            self._serving.in_flight -= 1
        self._task = None
        self._write(req, answer)

    def _write(self, req: Request, answer: Answer) -> None:
        closes = req.wants_close or self._serving.is_draining
        has_body = req.method != b'HEAD'
        self._transport.write(answer.render(closes=closes, has_body=has_body))
        self.idle_since = self._serving.clock()
        if closes:
            self.close()
            return
        self._transport.resume_reading()
        self._start_next()


def _reject(transport: Any, status: int, *, is_busy: bool) -> None:
    """Answer a request that can't be read, unless another is under way."""
    if not is_busy:
        transport.write(Answer(status=status).render(closes=True))
    transport.close()
