"""Multiplex messages over one proven stream to another daemon.

One task reads the stream and one watches for silence; each message that
arrives is handled in a task of its own, which the peer can cancel.
"""

import logging

import anyio
import attrs
from anyio.abc import TaskGroup

from goldcrestwharf.errors import PeerError, WireFormatError
from goldcrestwharf.peers._answers import Answers
from goldcrestwharf.peers._handlers import Handlers
from goldcrestwharf.peers._heartbeat import post_control, watch_silence
from goldcrestwharf.peers._hello import Identity
from goldcrestwharf.peers._link import STREAM_ENDS, Link
from goldcrestwharf.peers._pending import PendingCall, PendingCalls
from goldcrestwharf.peers._settings import PeerSettings
from goldcrestwharf.timers import Timers
from goldcrestwharf.wire import Frame, FrameKind, encode

_log = logging.getLogger(__name__)


class PeerConn:
    """Send messages to one peer and answer those that it sends.

    ``peer`` is the proven identity of the other end and ``closed`` an event
    that is set once the stream has ended for any reason.
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
        """Take over a stream whose handshake is done."""
        self.peer = peer
        self.closed = link.closed
        self._link = link
        self._timers = timers
        self._cfg = cfg
        self._used_at = timers.now()
        self._pending = PendingCalls()
        answers = Answers(
            conn=self,
            link=link,
            handlers=handlers,
            max_running=cfg.max_calls_per_conn,
        )
        self._dispatcher = _Dispatcher(
            link=link,
            pending=self._pending,
            answers=answers,
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

        Raises :class:`NotSentError` if the peer certainly did not act on
        the message and :class:`OutcomeUnknownError` if it may have. The
        peer's work is cancelled when the calling task is.
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
        """Return the seconds since this end last used the stream."""
        if self._pending:
            return 0
        return self._timers.now() - self._used_at

    async def run(self) -> None:
        """Read the stream until it ends, then settle all that waits."""
        try:
            async with anyio.create_task_group() as tg:
                tg.start_soon(
                    watch_silence,
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
        """Close the stream at once; calls that wait end as unknown."""
        self._pending.fail_all()
        await self._link.close()

    def _end_call(self, pending: PendingCall) -> None:
        self._used_at = self._timers.now()
        self._pending.close(pending)
        _cancel_unanswered(self._link, pending)


@attrs.frozen(kw_only=True)
class _Dispatcher:
    """Hand each frame that arrives to the part that waits for it."""

    link: Link
    pending: PendingCalls
    answers: Answers

    async def run(self, tg: TaskGroup, peer: Identity) -> None:
        """Read frames until the stream ends."""
        try:
            await self._dispatch_all(tg)
        except STREAM_ENDS:
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
                self.answers.accept(frame, tg)
            case FrameKind.CANCEL:
                self.answers.cancel(frame.channel)
            case FrameKind.REPLY | FrameKind.FAIL:
                self.pending.settle(frame)
            case FrameKind.PING:
                post_control(self.link, FrameKind.PONG)


def _cancel_unanswered(link: Link, pending: PendingCall) -> None:
    outgoing = pending.outgoing
    if outgoing is None or pending.answered.is_set():
        return
    if link.outbox.withdraw(outgoing):
        pending.give_up('the message was not written in time')
        return
    pending.give_up('no answer from the peer in time')
    if not link.closed.is_set():
        link.outbox.post(
            Frame(kind=FrameKind.CANCEL, channel=pending.channel),
        )
