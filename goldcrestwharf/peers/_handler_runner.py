"""Run the handlers of the messages that one peer sends."""

import logging
from typing import TYPE_CHECKING

import anyio
import attrs
from anyio.abc import TaskGroup

from goldcrestwharf.errors import (
    GoldcrestwharfError,
    PeerError,
    UnsupportedMessageError,
    WireFormatError,
)
from goldcrestwharf.peers._failures import Failure, FailureKind
from goldcrestwharf.peers._handlers import Handler, Handlers
from goldcrestwharf.peers._link import Link
from goldcrestwharf.wire import Frame, FrameKind, decode, encode

if TYPE_CHECKING:
    from goldcrestwharf.peers._conn import PeerConn

_log = logging.getLogger(__name__)


@attrs.frozen(kw_only=True)
class _IncomingMessage:
    """Decoded message with its handler and the scope that cancels it."""

    body: object
    handler: Handler
    channel: int
    is_call: bool
    scope: anyio.CancelScope = attrs.field(factory=anyio.CancelScope)


class HandlerRunner:
    """Handlers of one stream's messages, each in a task of its own."""

    def __init__(
        self,
        *,
        conn: 'PeerConn',
        link: Link,
        handlers: Handlers,
        max_running: int,
    ) -> None:
        """Answer on ``link``; handlers get ``conn`` as the sender."""
        self._conn = conn
        self._link = link
        self._handlers = handlers
        self._max_running = max_running
        self._running: dict[int, anyio.CancelScope] = {}

    def start(self, frame: Frame, tg: TaskGroup) -> None:
        """Start the handler of the message in ``frame``."""
        try:
            incoming = self._parse(frame)
        except _REFUSAL_ERRORS as exc:
            _log.warning('peer.refused reason=%s', exc)
            if frame.kind is FrameKind.CALL:
                self._reply(frame.channel, _make_failure(exc))
        else:
            # The scope is registered before the task runs, so that a
            # cancellation that arrives right after the call is not lost.
            if incoming.is_call:
                self._running[incoming.channel] = incoming.scope
            tg.start_soon(self._answer, incoming)

    def cancel(self, channel: int) -> None:
        """Cancel the handler of the call on ``channel``."""
        scope = self._running.get(channel)
        if scope is not None:
            scope.cancel()

    def _parse(self, frame: Frame) -> _IncomingMessage:
        body = decode(frame.payload)
        handler = self._handlers.find(type(body))
        if handler is None:
            raise UnsupportedMessageError(
                reason=f'no handler for {type(body).__name__}',
                remedy='send it to a daemon that has this duty',
            )
        is_call = frame.kind is FrameKind.CALL
        if is_call and len(self._running) >= self._max_running:
            raise _BusyError(
                reason='too many calls run on this stream',
                remedy='send it again after a short wait',
            )
        return _IncomingMessage(
            body=body,
            handler=handler,
            channel=frame.channel,
            is_call=is_call,
        )

    async def _answer(self, incoming: _IncomingMessage) -> None:
        if not incoming.is_call:
            await self._run_handler(incoming)
            return
        with incoming.scope:
            try:
                reply = await self._run_handler(incoming)
            finally:
                self._running.pop(incoming.channel, None)
            self._reply(incoming.channel, reply)

    async def _run_handler(self, incoming: _IncomingMessage) -> object:
        try:
            return await incoming.handler(incoming.body, self._conn)
        except Exception as exc:
            _log.exception(
                'peer.handler_failed vm=%s message=%s',
                self._conn.peer.vm,
                type(incoming.body).__name__,
            )
            return _make_internal_failure(exc)

    def _reply(self, channel: int, reply: object) -> None:
        is_failure = isinstance(reply, Failure)
        frame = Frame(
            kind=FrameKind.FAIL if is_failure else FrameKind.REPLY,
            channel=channel,
            payload=encode(reply),
        )
        try:
            self._link.outbox.post(frame)
        except PeerError as exc:
            _log.debug('peer.reply_lost reason=%s', exc)
        except WireFormatError as exc:
            _log.warning('peer.reply_too_large reason=%s', exc)
            self._reply(channel, _make_internal_failure(exc))


@attrs.define(kw_only=True)
class _BusyError(GoldcrestwharfError):
    """Refusal of a call beyond the limit of concurrent ones."""


_REFUSAL_ERRORS = (UnsupportedMessageError, WireFormatError, _BusyError)


def _make_failure(exc: GoldcrestwharfError) -> Failure:
    match exc:
        case UnsupportedMessageError():
            kind = FailureKind.UNSUPPORTED
        case WireFormatError():
            kind = FailureKind.MALFORMED
        case _:
            kind = FailureKind.BUSY
    return Failure(kind=kind, reason=exc.reason, remedy=exc.remedy)


def _make_internal_failure(exc: Exception) -> Failure:
    return Failure(
        kind=FailureKind.INTERNAL,
        reason=f'the handler failed: {exc}',
        remedy='look at the log of that daemon',
    )
