"""Streams that other daemons open to this one."""

import asyncio

from goldcrestwharf.http1 import bind_listener
from goldcrestwharf.proxy._document_messages import (
    Fetch,
)
from goldcrestwharf.proxy._features import PeerFeature
from goldcrestwharf.proxy._kept_answers import make_ledger
from goldcrestwharf.proxy._local_target import LocalTarget
from goldcrestwharf.proxy._peer_messages import (
    Hello,
    KnownPeersRequest,
    Ping,
    Pong,
)
from goldcrestwharf.proxy._quota_messages import QuotaRequest
from goldcrestwharf.proxy._replies import pack_report
from goldcrestwharf.proxy._rollout_messages import (
    RolloutEvidence,
    RolloutNotice,
)
from goldcrestwharf.proxy._session import Session
from goldcrestwharf.proxy._session_context import SessionContext
from goldcrestwharf.proxy._session_runs import RunContext
from goldcrestwharf.proxy._strangers import Strangers
from goldcrestwharf.proxy._stream import MessageStream

_BACKLOG = 1024

#: Most connections that are accepted in one turn of the event loop.
_MAX_ACCEPTED = 32

#: Seconds without any bytes after which a stream is closed; the other end pings
#: several times in that time.
SILENCE_TIMEOUT_S = 6.0


class Sessions:
    """Sessions of all other daemons, each by the id of its process."""

    def __init__(
        self, *, local_target: LocalTarget, context: SessionContext
    ) -> None:
        """Run attempts on ``local_target``."""
        self._context = context
        self._run_context = RunContext(
            local_target=local_target,
            ledger=make_ledger(context),
            find_pause=context.find_pause,
            timeouts=context.timeouts,
            transfers=context.transfers,
        )
        self.by_process: dict[str, Session] = {}
        self._by_stream: dict[MessageStream, Session | None] = {}
        self._strangers = Strangers()
        self._server: asyncio.Server | None = None

    async def listen(self, address: str) -> None:
        """Bind ``address`` (``host:port``)."""
        listener = bind_listener(address)
        self._server = await asyncio.get_running_loop().create_server(
            self._make_stream,
            sock=listener,
            backlog=_MAX_ACCEPTED,
        )
        listener.listen(_BACKLOG)

    def broadcast(self, message: object, *, zone: str = '') -> None:
        """Send a message to all daemons, or to those of one zone.

        Messages of roll-outs go to those that understand them.
        """
        is_rollout = isinstance(message, RolloutNotice)
        for session in self.by_process.values():
            is_meant = session.rolls_out or not is_rollout
            if is_meant and zone in {'', session.zone}:
                session.stream.send(message)

    def check(self, now: float) -> None:
        """Close silent streams."""
        for stream in tuple(self._by_stream):
            if now - stream.last_heard > SILENCE_TIMEOUT_S:
                stream.close()

    def close(self) -> None:
        """Stop listening and close all streams."""
        if self._server is not None:
            self._server.close()
        for stream in tuple(self._by_stream):
            stream.close()

    def _make_stream(self) -> MessageStream:
        stream = MessageStream(
            receive=self._receive,
            handle_end=self._handle_end,
            is_introduced=False,
        )
        self._by_stream[stream] = None
        self._strangers.add(stream)
        return stream

    def _receive(self, stream: MessageStream, message: object) -> None:
        if isinstance(message, Hello):
            self._handle_hello(stream, message)
        elif isinstance(message, Ping):
            stream.send(_make_pong(self._context, message))
        elif isinstance(message, Fetch):
            _send_document(self._context, stream, message)
        elif isinstance(message, KnownPeersRequest):
            _send_known_peers(self._context, stream, message)
        else:
            self._forward(stream, message)

    def _forward(self, stream: MessageStream, message: object) -> None:
        session = self._by_stream.get(stream)
        if session is None:
            stream.close()
        elif isinstance(message, QuotaRequest):
            grant = self._context.grant_tokens(session.process, message)
            _send_if_any(stream, grant)
        elif isinstance(message, RolloutEvidence):
            self._context.receive_evidence(message)
        else:
            session.receive(message)

    def _handle_hello(self, stream: MessageStream, hello: Hello) -> None:
        local = self._context.make_hello()
        if hello.wanted not in {'', local.name}:
            # Dialed for another daemon: keep the stream of the session.
            stream.send(local)
            return
        session = self.by_process.get(hello.process)
        if session is None:
            session = Session(
                hello=hello,
                stream=stream,
                context=self._run_context,
            )
            self.by_process[hello.process] = session
        elif session.stream is not stream:
            self._by_stream.pop(session.stream, None)
            session.runs.break_off_bodies()
            session.stream.close()
            session.stream = stream
        self._by_stream[stream] = session
        self._strangers.introduce(stream)
        session.rolls_out = hello.supports(PeerFeature.ROLLOUTS)
        stream.send(local)
        _send_state(self._context, stream, rolls_out=session.rolls_out)
        self._context.receive_hello(hello)

    def _handle_end(self, stream: MessageStream) -> None:
        session = self._by_stream.pop(stream, None)
        self._strangers.discard(stream)
        if session is None:
            return
        session.runs.break_off_bodies()
        session.runs.cancel_repeatable()
        if not session.runs:
            self.by_process.pop(session.process, None)


def _send_state(
    context: SessionContext, stream: MessageStream, *, rolls_out: bool
) -> None:
    if rolls_out:
        # Before the target, whose version an order may limit.
        _send_if_any(stream, context.make_rollout_notice())
    stream.send(context.describe_target())
    _send_if_any(stream, context.make_crash_reports())


def _send_document(
    context: SessionContext,
    stream: MessageStream,
    fetch: Fetch,
) -> None:
    _send_if_any(stream, context.find_document(fetch.version))


def _send_known_peers(
    context: SessionContext,
    stream: MessageStream,
    request: KnownPeersRequest,
) -> None:
    _send_if_any(stream, context.make_known_peers(request))


def _send_if_any(stream: MessageStream, message: object | None) -> None:
    if message is not None:
        stream.send(message)


def _make_pong(context: SessionContext, ping: Ping) -> Pong:
    update = context.make_version_update()
    return Pong(
        number=ping.number,
        version=update.version,
        report=pack_report(context.find_report()),
        reads_store=update.reads_store,
        store_epoch=update.store_epoch,
    )
