"""Multiplex messages over one authenticated stream to another daemon.

One task reads the stream, one writes it and one closes it when the peer is
silent; each message that arrives is handled in a task of its own, which the
peer can cancel.
"""

import logging

import anyio
import attrs
from anyio.abc import TaskGroup

from goldcrestwharf.errors import PeerError, WireFormatError
from goldcrestwharf.peers._handler_runner import HandlerRunner
from goldcrestwharf.peers._handlers import Handlers
from goldcrestwharf.peers._heartbeat import close_when_silent, post_control
from goldcrestwharf.peers._hello import Identity
from goldcrestwharf.peers._link import STREAM_END_ERRORS, Link
from goldcrestwharf.peers._pending import PendingCall, PendingCalls
from goldcrestwharf.peers._settings import PeerSettings
from goldcrestwharf.timers import Timers
from goldcrestwharf.wire import Frame, FrameKind, encode

_log = logging.getLogger(__name__)


class PeerConn:
    """Stream to one peer, for messages in both directions.

    ``peer`` is the authenticated identity of the other end and ``closed``
    an event that is set once the stream has ended for any reason.
    """

    def __init__(
        self,
        *,
        link: Link,
        peer: Identity,
        handlers: Handlers,
        timers: Timers,
        cfg: PeerSettings,
    ) -> None:
        """Use ``link``, whose handshake is done."""
        self.peer = peer
        self.closed = link.closed
        self._link = link
        self._timers = timers
        self._cfg = cfg
        self._used_at = timers.now()
        self._pending = PendingCalls()
        handler_runner = HandlerRunner(
            conn=self,
            link=link,
            handlers=handlers,
            max_running=cfg.max_calls_per_conn,
        )
        self._dispatcher = _FrameDispatcher(
            link=link,
            pending=self._pending,
            handler_runner=handler_runner,
        )

    async def send(self, body: object) -> None:
        """Write a one-way message.

        Raises :class:`NotSentError` if the stream is closed and
        :class:`OutcomeUnknownError` if it breaks during the write.
        """
        self._used_at = self._timers.now()
        frame = Frame(kind=FrameKind.SEND, payload=encode(body))
        await self._link.write(frame)

    async def call(self, body: object, *, timeout: float) -> object:
        """Return the peer's answer to ``body`` within ``timeout`` seconds.

        Raises :class:`NotSentError` if the peer certainly did not handle
        the message and :class:`OutcomeUnknownError` if it may have. The
        peer's handler is cancelled when the calling task is.
        """
        pending = self._pending.open()
        frame = Frame(
            kind=FrameKind.CALL,
            channel=pending.channel,
            payload=encode(body),
        )
        try:
            with self._timers.limit(timeout):
                pending.outgoing = self._link.outbox.post(frame)
                await pending.answered.wait()
        finally:
            self._end_call(pending)
        return pending.unwrap()

    def idle_for(self) -> float:
        """Return the seconds since this end last sent a message."""
        if self._pending:
            return 0
        return self._timers.now() - self._used_at

    async def run(self) -> None:
        """Read the stream until it ends, then fail all pending calls."""
        try:
            async with anyio.create_task_group() as tg:
                tg.start_soon(
                    close_when_silent,
                    self._link,
                    self._timers,
                    self._cfg,
                )
                tg.start_soon(self._link.write_all)
                await self._dispatcher.run(tg, self.peer)
                tg.cancel_scope.cancel()
        finally:
            with anyio.CancelScope(shield=True):
                await self.close()

    async def close(self) -> None:
        """Close the stream at once and fail all pending calls."""
        self._pending.fail_all()
        await self._link.close()

    def _end_call(self, pending: PendingCall) -> None:
        self._used_at = self._timers.now()
        self._pending.close(pending)
        _cancel_unanswered(self._link, pending)


@attrs.frozen(kw_only=True)
class _FrameDispatcher:
    """Reader that passes each frame to its handler or pending call."""

    link: Link
    pending: PendingCalls
    handler_runner: HandlerRunner

    async def run(self, tg: TaskGroup, peer: Identity) -> None:
        """Read frames until the stream ends."""
        try:
            await self._dispatch_all(tg)
        except STREAM_END_ERRORS:
            _log.debug('peer.ended vm=%s', peer.vm)
        except PeerError as exc:
            _log.debug('peer.broken vm=%s reason=%s', peer.vm, exc)
        except WireFormatError as exc:
            _log.warning('peer.malformed vm=%s reason=%s', peer.vm, exc)

    async def _dispatch_all(self, tg: TaskGroup) -> None:
        while True:
            frame = await self.link.read()
            self._dispatch(frame, tg)

    def _dispatch(self, frame: Frame, tg: TaskGroup) -> None:
        match frame.kind:
            case FrameKind.SEND | FrameKind.CALL:
                self.handler_runner.start(frame, tg)
            case FrameKind.CANCEL:
                self.handler_runner.cancel(frame.channel)
            case FrameKind.REPLY | FrameKind.FAIL:
                self.pending.resolve(frame)
            case FrameKind.PING:
                post_control(self.link, FrameKind.PONG)


def _cancel_unanswered(link: Link, pending: PendingCall) -> None:
    outgoing = pending.outgoing
    if outgoing is None or pending.answered.is_set():
        return
    if link.outbox.withdraw(outgoing):
        pending.fail('the message was not written in time')
        return
    pending.fail('no answer from the peer in time')
    if not link.closed.is_set():
        link.outbox.post(
            Frame(kind=FrameKind.CANCEL, channel=pending.channel),
        )
