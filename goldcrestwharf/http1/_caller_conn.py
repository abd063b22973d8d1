"""Serve the requests on a connection from a caller, one at a time."""

import asyncio
import http
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any

import attrs

from goldcrestwharf.http1._limits import CallerLimits
from goldcrestwharf.http1._lingering_close import LingeringClose
from goldcrestwharf.http1._messages import Answer, Request
from goldcrestwharf.http1._paced_protocol import PacedProtocol
from goldcrestwharf.http1._request_reader import (
    BadRequestError,
    RequestReader,
)
from goldcrestwharf.loglines import EventLog
from goldcrestwharf.transfers import BodyBudget

_log = EventLog(__name__)

#: Number of pipelined requests above which reading is paused.
_MAX_PIPELINED = 8

_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'

#: States that a request was not run, and never will be.
REFUSAL = Answer(status=http.HTTPStatus.SERVICE_UNAVAILABLE)

Handler = Callable[[Request], Awaitable[Answer]]


@attrs.define(kw_only=True, eq=False)
class ListenerState:
    """The state that all connections of a listener share.

    While ``is_draining`` is set, the answer to the last request that was read
    on a connection has ``Connection: close``. Once ``is_refusing`` is set,
    requests get ``refusal`` in place of the handler's answer. Once
    ``is_cut_off`` is set, those in progress are answered with status 504. Once
    ``is_closed`` is set, connections that were being accepted are closed.
    ``last_request_at`` is in seconds of ``clock``. ``budget`` is the memory
    for bodies, if it is bounded.
    """

    handler: Handler
    limits: Callable[[], CallerLimits]
    clock: Callable[[], float]
    budget: BodyBudget | None = None
    conns: set['CallerConn'] = attrs.field(factory=set)
    tasks: set['asyncio.Task[None]'] = attrs.field(factory=set)
    refusal: Answer = REFUSAL
    is_draining: bool = False
    is_refusing: bool = False
    is_cut_off: bool = False
    is_closed: bool = False
    in_flight: int = 0
    last_request_at: float = 0

    async def answer(self, req: Request) -> Answer:
        """Return the answer of the handler, or the refusal."""
        if self.is_refusing:
            _log.note('caller.refused_at_stop', path=req.path)
            return self.refusal
        try:
            return await self.handler(req)
        except asyncio.CancelledError as exc:
            if not self.is_cut_off and _is_cancelled():
                raise
            _log.note('caller.cut_off', path=req.path, cause=repr(exc))
            return Answer(status=http.HTTPStatus.GATEWAY_TIMEOUT)
        except Exception:
            _log.exception('caller.handler_failed')
            return Answer(status=http.HTTPStatus.INTERNAL_SERVER_ERROR)

    def cut_off(self) -> None:
        """End the requests in progress, which are still answered."""
        self.is_cut_off = True
        for task in self.tasks:
            task.cancel()

    def track(self, req: Request, task: 'asyncio.Task[None]') -> None:
        """Count ``req`` as in progress until ``task`` has ended."""
        self.in_flight += 1
        self.tasks.add(task)
        self.last_request_at = self.clock()
        # Called also if the task is cancelled before it runs.
        task.add_done_callback(partial(self._release, req.reserved))

    def _release(self, reserved: int, task: 'asyncio.Task[None]') -> None:
        self.in_flight -= 1
        self.tasks.discard(task)
        if self.budget is not None:
            self.budget.release(reserved)


class CallerConn(PacedProtocol):
    """A connection from a caller that passes requests to the handler.

    A caller that disconnects cancels its request. ``transport`` may still
    have bytes of an answer after its request has ended. No further request is
    begun while the caller doesn't read.
    """

    def __init__(self, *, serving: ListenerState) -> None:
        """Serve with the state of the listener."""
        super().__init__(handle_resumed=self._proceed)
        self.idle_since = serving.clock()
        self._serving = serving
        self._reader = RequestReader(
            limits=serving.limits,
            clock=serving.clock,
            budget=serving.budget,
        )
        self._closing: LingeringClose | None = None
        self.transport: Any = None
        self._caller = ''
        self._task: asyncio.Task[None] | None = None
        self._is_close_logged = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        self.transport = transport
        if self._serving.is_closed:
            self.close()
            return
        peer = transport.get_extra_info('peername')
        self._caller = peer[0] if peer else ''
        self._serving.conns.add(self)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes and start the next request."""
        if self._closing is not None:
            return
        self._reader.feed(data)
        self._proceed()
        if len(self._reader.complete) > _MAX_PIPELINED:
            self.transport.pause_reading()
        if self._reader.is_ended:
            # What follows is discarded, so that a caller that leaves is
            # noticed.
            self.transport.resume_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in progress."""
        self._serving.conns.discard(self)
        self._reader.release_all()
        if self._task is not None:
            self._task.cancel()

    def close_on_timeout(self, now: float) -> None:
        """Close the connection if it is idle or incomplete for too long.

        An incomplete request is answered with status 408.
        """
        if self._closing is not None:
            self._closing.check(now)
            return
        if self._task is not None:
            return
        limits = self._serving.limits()
        incomplete_since = self._reader.incomplete_since
        if incomplete_since is not None:
            # A request behind another one may have waited for status 100.
            since = max(incomplete_since, self.idle_since)
            if now - since > limits.head_timeout:
                status = http.HTTPStatus.REQUEST_TIMEOUT
                self._reader.reject(BadRequestError(status=status))
                self._proceed()
        elif now - self.idle_since > limits.idle_timeout:
            self.begin_close('idle_timeout')

    def begin_close(self, reason: str) -> None:
        """Close once the caller has read what was sent.

        ``reason`` is logged if requests that were read whole are unanswered.
        """
        self._is_close_logged = self._is_close_logged or _log_unanswered(
            reason, self._task, self._reader
        )
        self._closing = LingeringClose(
            transport=self.transport,
            now=self._serving.clock(),
            read_timeout=self._serving.limits().idle_timeout,
        )

    def close(self) -> None:
        """Close at once; buffered data is still sent."""
        is_partial = self._reader.incomplete_since is not None
        if self._serving.is_refusing and is_partial:
            refusal = self._serving.refusal
            self._reader.reject(
                BadRequestError(status=refusal.status, head=refusal.head)
            )
            self._proceed()
        self._is_close_logged = self._is_close_logged or _log_unanswered(
            'stop', self._task, self._reader
        )
        self.transport.close()

    @property
    def is_idle(self) -> bool:
        """Return whether no request is in progress or partly received."""
        return self._task is None and self._reader.incomplete_since is None

    def _proceed(self) -> None:
        """Start the next request, or answer the one that can't be served."""
        is_paused = self.is_write_paused and not self._serving.is_refusing
        if self._task is not None or is_paused or self._closing is not None:
            return
        if self._reader.complete:
            req = self._reader.complete.popleft()
            req.caller = self._caller
            loop = asyncio.get_running_loop()
            self._task = loop.create_task(self._serve(req))
            self._serving.track(req, self._task)
        elif self._reader.rejection is not None:
            rejection = self._reader.rejection
            answer = Answer(status=rejection.status, head=rejection.head)
            self.transport.write(answer.render(closes=True))
            self.begin_close('rejection')
        elif self._reader.take_continue():
            self.transport.write(_CONTINUE)

    async def _serve(self, req: Request) -> None:
        answer = await self._serving.answer(req)
        self._task = None
        is_last = self._serving.is_draining and not _has_more(self._reader)
        closes = req.wants_close or is_last
        has_body = req.method != b'HEAD'
        self.transport.write(answer.render(closes=closes, has_body=has_body))
        self.idle_since = self._serving.clock()
        if closes:
            self.begin_close('drain' if is_last else 'caller')
            return
        self.transport.resume_reading()
        self._proceed()


def _is_cancelled() -> bool:
    """Return whether this task was cancelled, and not what it awaits."""
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0


def _has_more(reader: RequestReader) -> bool:
    """Return whether another request has been read, or a part of it."""
    is_partial = reader.incomplete_since is not None
    return is_partial or bool(reader.complete or reader.rejection)


def _log_unanswered(
    reason: str, task: 'asyncio.Task[None] | None', reader: RequestReader
) -> bool:
    in_progress = int(task is not None)
    waiting = len(reader.complete)
    if in_progress or waiting:
        _log.note(
            'caller.closed_unanswered',
            reason=reason,
            in_progress=in_progress,
            waiting=waiting,
        )
        return True
    return False
