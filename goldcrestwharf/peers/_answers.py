"""Answer the messages that one peer sends."""

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
class _Accepted:
    """Hold a message that is about to be handled."""

    body: object
    handler: Handler
    channel: int
    is_call: bool
    scope: anyio.CancelScope = attrs.field(factory=anyio.CancelScope)


class Answers:
    """Run the handler of each message in a task of its own."""

    def __init__(
        self,
        *,
        conn: 'PeerConn',
        link: Link,
        handlers: Handlers,
        max_running: int,
    ) -> None:
        """Answer on ``link`` in the name of ``conn``."""
        self._conn = conn
        self._link = link
        self._handlers = handlers
        self._max_running = max_running
        self._running: dict[int, anyio.CancelScope] = {}

    def accept(self, frame: Frame, tg: TaskGroup) -> None:
        """Start the handler of the message in ``frame``."""
        try:
            accepted = self._open(frame)
        except _REFUSALS as exc:
            _log.warning('peer.refused reason=%s', exc)
            if frame.kind is FrameKind.CALL:
                self._reply(frame.channel, _make_failure(exc))
        else:
            # The scope is registered before the task runs, so that a
            # cancellation that follows at once is not lost.
            if accepted.is_call:
                self._running[accepted.channel] = accepted.scope
            tg.start_soon(self._answer, accepted)

    def cancel(self, channel: int) -> None:
        """Cancel the handler of the call on ``channel``."""
        scope = self._running.get(channel)
        if scope is not None:
            scope.cancel()

    def _open(self, frame: Frame) -> _Accepted:
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
        return _Accepted(
            body=body,
            handler=handler,
            channel=frame.channel,
            is_call=is_call,
        )

    async def _answer(self, accepted: _Accepted) -> None:
        if not accepted.is_call:
            await self._run_handler(accepted)
            return
        with accepted.scope:
            try:
                reply = await self._run_handler(accepted)
            finally:
                self._running.pop(accepted.channel, None)
            self._reply(accepted.channel, reply)

    async def _run_handler(self, accepted: _Accepted) -> object:
        try:
            return await accepted.handler(accepted.body, self._conn)
        except Exception as exc:
            _log.exception(
                'peer.handler_failed vm=%s message=%s',
                self._conn.peer.vm,
                type(accepted.body).__name__,
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
    """Report that the bound of concurrent calls is reached."""


_REFUSALS = (UnsupportedMessageError, WireFormatError, _BusyError)


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
