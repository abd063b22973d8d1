"""Serve the orders that other daemons send."""

import asyncio
from collections.abc import Callable

import attrs

from goldcrestwharf.admission import (
    DispatchLedger,
    Refusal,
    RefusalReason,
    Standing,
)
from goldcrestwharf.http1 import bind_listener
from goldcrestwharf.loglines import EventLog
from goldcrestwharf.proxy import _frames
from goldcrestwharf.proxy._outcomes import Reply
from goldcrestwharf.proxy._owner import Owner
from goldcrestwharf.proxy._stream import MessageStream

_log = EventLog(__name__)

_BACKLOG = 1024

#: Seconds without a sign of life after which a stream is given up; the other
#: end pings it several times in that time.
_SILENCE_S = 6.0


@attrs.frozen(kw_only=True)
class SessionContext:
    """Hold what the sessions need of the daemon."""

    make_hello: Callable[[], _frames.Hello]
    receive_hello: Callable[[_frames.Hello], None]
    describe_target: Callable[[], _frames.TargetState]
    find_document: Callable[[int], _frames.Document | None]
    clock: Callable[[], float]


@attrs.define(kw_only=True, eq=False)
class _Session:
    """Hold the stream from one daemon and the runs that it asked for."""

    process: str
    stream: MessageStream
    runs: dict[int, 'asyncio.Task[None]'] = attrs.field(factory=dict)
    cancellable: set[int] = attrs.field(factory=set)


class Sessions:
    """Accept streams of other daemons and run what they ask for."""

    def __init__(self, *, owner: Owner, context: SessionContext) -> None:
        """Run orders by ``owner``."""
        self._owner = owner
        self._context = context
        self._ledger: DispatchLedger[Reply] = DispatchLedger(
            clock=context.clock,
        )
        self._streams: set[MessageStream] = set()
        self._sessions: dict[str, _Session] = {}
        self._by_stream: dict[MessageStream, _Session] = {}
        self._server: asyncio.Server | None = None

    async def listen(self, address: str) -> None:
        """Bind ``address`` (``host:port``)."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._make_stream,
            sock=bind_listener(address),
            backlog=_BACKLOG,
        )

    def tell(self) -> None:
        """Tell all daemons of the target's state."""
        state = self._context.describe_target()
        for session in self._sessions.values():
            session.stream.send(state)

    def check(self, now: float) -> None:
        """Give up streams that went silent."""
        for stream in tuple(self._streams):
            if now - stream.last_heard > _SILENCE_S:
                stream.close()

    def close(self) -> None:
        """Stop listening and end all streams."""
        if self._server is not None:
            self._server.close()
        for stream in tuple(self._streams):
            stream.close()

    def _make_stream(self) -> MessageStream:
        stream = MessageStream(
            receive=self._receive,
            note_end=self._note_end,
        )
        self._streams.add(stream)
        return stream

    def _receive(self, stream: MessageStream, message: object) -> None:
        if isinstance(message, _frames.Hello):
            self._begin(stream, message)
            return
        if isinstance(message, _frames.Ping):
            stream.send(self._make_pong(message))
            return
        session = self._by_stream.get(stream)
        if session is None:
            stream.close()
        elif isinstance(message, _frames.Run):
            self._start(session, message)
        elif isinstance(message, _frames.Cancel):
            self._cancel(session, message.number)
        elif isinstance(message, _frames.Inquire):
            self._answer_inquiry(session, message)
        elif isinstance(message, _frames.Fetch):
            self._send_document(stream, message)

    def _begin(self, stream: MessageStream, hello: _frames.Hello) -> None:
        known = self._sessions.get(hello.process)
        if known is None:
            known = _Session(process=hello.process, stream=stream)
            self._sessions[hello.process] = known
        elif known.stream is not stream:
            self._by_stream.pop(known.stream, None)
            known.stream.close()
            known.stream = stream
        self._by_stream[stream] = known
        stream.send(self._context.make_hello())
        stream.send(self._context.describe_target())
        self._context.receive_hello(hello)

    def _make_pong(self, ping: _frames.Ping) -> _frames.Pong:
        return _frames.Pong(
            number=ping.number,
            version=self._context.make_hello().version,
            report=_frames.pack_report(self._owner.report()),
        )

    def _start(self, session: _Session, message: _frames.Run) -> None:
        key = (session.process, message.number)
        if not self._ledger.accept(key):
            _log.warning(
                'order.not_accepted',
                request=message.request_id,
            )
            return
        if message.is_repeatable:
            session.cancellable.add(message.number)
        task = asyncio.get_running_loop().create_task(
            self._run(session, message),
        )
        session.runs[message.number] = task

    async def _run(self, session: _Session, message: _frames.Run) -> None:
        key = (session.process, message.number)
        try:
            reply = await self._owner.run(message.order())
        except asyncio.CancelledError:
            refusal = Refusal(reason=RefusalReason.WITHDRAWN)
            reply = Reply(outcome=refusal, report=self._owner.report())
            self._ledger.drop(key)
        else:
            self._keep(key, message, reply)
        finally:
            session.runs.pop(message.number, None)
            session.cancellable.discard(message.number)
        self._send_reply(session, message.number, reply)

    def _keep(
        self,
        key: tuple[str, int],
        message: _frames.Run,
        reply: Reply,
    ) -> None:
        if message.is_repeatable:
            self._ledger.drop(key)
        else:
            self._ledger.finish(key, reply)

    def _cancel(self, session: _Session, number: int) -> None:
        task = session.runs.get(number)
        if task is not None:
            task.cancel()

    def _answer_inquiry(
        self,
        session: _Session,
        message: _frames.Inquire,
    ) -> None:
        for number in message.numbers:
            entry = self._ledger.inquire((session.process, number))
            if entry.outcome is not None:
                self._send_reply(session, number, entry.outcome)
            elif entry.standing is Standing.FORBIDDEN:
                refusal = Refusal(reason=RefusalReason.LOST_ON_WAY)
                reply = Reply(outcome=refusal, report=self._owner.report())
                self._send_reply(session, number, reply)

    def _send_reply(
        self,
        session: _Session,
        number: int,
        reply: Reply,
    ) -> None:
        report = reply.report or self._owner.report()
        session.stream.send(
            _frames.make_reply(number, reply.outcome, report),
        )

    def _send_document(
        self,
        stream: MessageStream,
        message: _frames.Fetch,
    ) -> None:
        document = self._context.find_document(message.version)
        if document is not None:
            stream.send(document)

    def _note_end(self, stream: MessageStream) -> None:
        self._streams.discard(stream)
        session = self._by_stream.pop(stream, None)
        if session is None:
            return
        for number in tuple(session.cancellable):
            self._cancel(session, number)
        if not session.runs:
            self._sessions.pop(session.process, None)
