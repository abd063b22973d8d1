"""Serve the requests on a connection from a caller, one at a time."""

import asyncio
import http
from typing import Any

from goldcrestwharf.http1._caller_input import CallerInput
from goldcrestwharf.http1._lingering_close import LingeringClose
from goldcrestwharf.http1._listener_state import ListenerState
from goldcrestwharf.http1._messages import Answer, Request
from goldcrestwharf.http1._paced_protocol import PacedProtocol
from goldcrestwharf.http1._partial_request import Rejection
from goldcrestwharf.http1._request_parser import ParserTerms, RequestParser
from goldcrestwharf.http1._request_reader import RequestReader
from goldcrestwharf.loglines import EventLog

_log = EventLog(__name__)

_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


class CallerConn(PacedProtocol):
    """A connection from a caller that passes requests to the handler.

    A caller that disconnects cancels its request. ``transport`` may still
    have bytes of an answer after its request has ended. No further request is
    begun while the caller doesn't read.
    """

    def __init__(self, *, serving: ListenerState) -> None:
        """Serve with the state of the listener."""
        super().__init__(
            handle_resumed=self._proceed,
            find_read_size=lambda: self._reader.read_size,
        )
        self._serving = serving
        self._reader = RequestReader(
            parser=RequestParser(
                terms=ParserTerms(
                    limits=serving.limits,
                    clock=serving.clock,
                    budget=serving.budget,
                )
            ),
            clock=serving.clock,
        )
        self._input = CallerInput(
            reader=self._reader,
            bounds=serving.bounds,
            proceed=self._proceed,
            now=serving.clock(),
        )
        self._closing: LingeringClose | None = None
        self.transport: Any = None
        self._caller = ''
        self._task: asyncio.Task[None] | None = None
        self._is_close_logged = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        self.transport = transport
        has_room = self._input.open(transport)
        if self._serving.is_closed:
            self.close()
            return
        if not has_room:
            _log.note('caller.too_many_connections')
            self.transport.abort()
            return
        peer = transport.get_extra_info('peername')
        self._caller = peer[0] if peer else ''
        self._serving.conns.add(self)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes and start the next request."""
        if self._closing is None:
            self._reader.feed(data)
            self._input.advance()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in progress."""
        super().connection_lost(exc)
        self._serving.conns.discard(self)
        self._input.close()
        if self._task is not None:
            self._task.cancel()

    def close_on_timeout(self, now: float) -> None:
        """Close the connection if it is idle or incomplete for too long.

        An incomplete request is answered with status 408.
        """
        self._input.memory.hold(self._reader.held)
        if self._closing is not None:
            self._closing.check(now)
            return
        if self._task is not None:
            return
        limits = self._serving.limits()
        incomplete_since = self._reader.incomplete_since
        if incomplete_since is not None:
            # A request behind another one may have waited for status 100.
            since = max(incomplete_since, self._input.slot.idle_since)
            if now - since > limits.head_timeout:
                status = http.HTTPStatus.REQUEST_TIMEOUT
                self._reader.end(Rejection(status=status))
                self._proceed()
        elif now - self._input.slot.idle_since > limits.idle_timeout:
            self.begin_close('idle_timeout')

    def begin_close(self, reason: str) -> None:
        """Close once the caller has read what was sent.

        ``reason`` is logged if requests that were read whole are unanswered.
        """
        self._is_close_logged = self._is_close_logged or _log_unanswered(
            reason, self._task, self._reader
        )
        self._input.slot.is_closing = True
        self._reader.end()
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
            self._reader.end(
                Rejection(status=refusal.status, head=refusal.head)
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
        rejection = self._reader.parser.rejection
        if self._reader.parser.complete:
            req = self._reader.parser.complete.popleft()
            req.caller = self._caller
            self._input.memory.begin(req)
            loop = asyncio.get_running_loop()
            self._task = loop.create_task(self._serve(req))
            self._serving.track(req, self._task)
        elif rejection is not None:
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
        self._input.finish(self._serving.clock())
        if closes:
            self.begin_close('drain' if is_last else 'caller')
            return
        self._input.resume()


def _has_more(reader: RequestReader) -> bool:
    """Return whether another request has been read, or a part of it."""
    is_partial = reader.incomplete_since is not None
    return is_partial or bool(reader.parser.complete or reader.parser.rejection)


def _log_unanswered(
    reason: str, task: 'asyncio.Task[None] | None', reader: RequestReader
) -> bool:
    in_progress = int(task is not None)
    waiting = len(reader.parser.complete)
    if in_progress or waiting:
        _log.note(
            'caller.closed_unanswered',
            reason=reason,
            in_progress=in_progress,
            waiting=waiting,
        )
        return True
    return False
