"""Link to one other daemon."""

import asyncio

from goldcrestwharf.admission import Refusal, RefusalReason
from goldcrestwharf.discovery import DaemonRecord
from goldcrestwharf.loglines import EventLog
from goldcrestwharf.proxy import _metrics
from goldcrestwharf.proxy._attempt import Attempt
from goldcrestwharf.proxy._dialing import ReconnectBackoff
from goldcrestwharf.proxy._features import PeerFeature
from goldcrestwharf.proxy._link_context import LinkContext
from goldcrestwharf.proxy._liveness import Liveness, LivenessAction
from goldcrestwharf.proxy._outcomes import Reply
from goldcrestwharf.proxy._peer_messages import Hello, Ping
from goldcrestwharf.proxy._peer_target import PeerTarget
from goldcrestwharf.proxy._pending_calls import CallMessage, PendingCalls
from goldcrestwharf.proxy._stream import MessageStream
from goldcrestwharf.proxy._stream_opener import StreamOpener

_log = EventLog(__name__)

#: Seconds after the end of a stream in which a new one may still deliver the
#: replies. A longer timeout would keep callers waiting for a daemon that is
#: gone.
RECONNECT_TIMEOUT_S = 1.0


class PeerLink:
    """Stream to one daemon, and the state of its target.

    A broken stream is reconnected. The outcome of attempts that can't be
    repeated is then inquired over the new stream.
    """

    def __init__(self, *, record: DaemonRecord, context: LinkContext) -> None:
        """Create a link to the daemon of ``record``; :meth:`run` connects."""
        self.name = record.name
        self.target = PeerTarget(
            record=record,
            local_zone=context.local_zone,
            clock=context.clock,
            departures=context.departures,
        )
        self.context = context
        self.is_local_zone = record.zone == context.local_zone
        self._calls = PendingCalls(
            send=self.send,
            load=self.target.load,
            transfers=context.transfers,
            find_stream=lambda: self._stream,
        )
        self._stream: MessageStream | None = None
        self.opener = StreamOpener(
            record=record,
            backoff=ReconnectBackoff(rng=context.rng),
            make_hello=lambda: context.make_hello(record.name),
            receive=self._receive,
            handle_end=self._handle_end,
        )
        self._process = ''
        self._is_closing = False
        self.liveness = _make_liveness(self)

    @property
    def is_up(self) -> bool:
        """Return whether attempts can be sent."""
        return self._stream is not None

    async def run(self) -> None:
        """Connect, and reconnect when the stream ends, until cancelled."""
        while True:
            if await self.opener.open():
                await self.opener.backoff.wait_for_end()
            await self.opener.backoff.wait()

    def send(self, message: object) -> None:
        """Send a message if the stream is up."""
        if self._stream is not None:
            self._stream.send(message)

    def close(self) -> None:
        """Close the stream."""
        self._is_closing = True
        self.opener.close()
        if self._stream is not None:
            self._stream.close()

    def check(self, now: float) -> None:
        """Ping an idle stream and close a silent one."""
        stream = self._stream or self.opener.opening
        if stream is None or not stream.is_open:
            return
        action = self.liveness.check(
            last_heard=stream.last_heard,
            last_sent=stream.last_sent,
            now=now,
            is_busy=bool(self._calls),
        )
        if action is LivenessAction.PING:
            stream.send(Ping(number=0))
        elif action is LivenessAction.REOPEN:
            _reopen(self.name, self.opener, now - stream.last_heard)
            self.context.handle_suspect(self.name)
        elif action is LivenessAction.CLOSE:
            _metrics.count_stream('silent')
            _log.warning(
                'peer.silent',
                peer=self.name,
                quiet_s=round(now - stream.last_heard, 3),
            )
            stream.close()

    async def call(self, attempt: Attempt) -> Reply:
        """Send an attempt and return its reply."""
        if self._stream is None:
            refusal = Refusal(reason=RefusalReason.NOT_SENT)
            return Reply(outcome=refusal, report=None)
        return await self._calls.call(next(self.context.numbers), attempt)

    def _receive(self, stream: MessageStream, message: object) -> None:
        if isinstance(message, CallMessage):
            self._calls.receive(message)
        elif isinstance(message, Hello):
            self._handle_hello(stream, message)
        else:
            handler = self.context.handlers.get(message.__class__)
            if handler is None:
                _update_target(self, message)
            else:
                handler(self, message)

    def _handle_hello(self, stream: MessageStream, hello: Hello) -> None:
        self.context.receive_hello(hello)
        if hello.name != self.name:
            # Another daemon has this address now.
            stream.close()
            return
        replaced = self._stream
        self._stream = stream
        self._is_closing = False
        if _close_replaced(replaced, stream, self._calls):
            self.context.handle_suspect(self.name)
        self._calls.bodies.outgoing.is_supported = hello.supports(
            PeerFeature.BODY_PIECES
        )
        self.target.update(hello)
        self.liveness = _make_liveness(self)
        self.opener.backoff.reset()
        is_restarted = hello.process != self._process
        self._process = hello.process
        _note_connected(self.name, len(self._calls), is_restarted)
        if is_restarted:
            _handle_restart(self, self._calls)
        self._calls.inquire()
        self.context.handle_version(self, hello.version)

    def _handle_end(self, stream: MessageStream) -> None:
        if stream is (self._stream or self.opener.opening):
            self.opener.backoff.handle_end()
        if self._stream is stream:
            self._stream = None
            _note_end(self.name, len(self._calls), self._is_closing)
            self._calls.break_off_bodies()
            self._calls.fail(
                'the stream to the target broke', only_repeatable=True
            )
            self.context.handle_lost(self.name)
            loop = asyncio.get_running_loop()
            loop.call_later(
                RECONNECT_TIMEOUT_S, _fail_unless_up, self, self._calls
            )


def _fail_unless_up(link: PeerLink, calls: PendingCalls) -> None:
    if not link.is_up:
        calls.fail('the daemon beside the target is cut off')


def _reopen(peer: str, opener: StreamOpener, quiet: float) -> None:
    if opener.reopen():
        _metrics.count_stream('suspect')
        _log.note('peer.suspect', peer=peer, quiet_s=round(quiet, 3))


def _close_replaced(
    replaced: MessageStream | None, stream: MessageStream, calls: PendingCalls
) -> bool:
    """Return whether messages on another stream may be lost."""
    if replaced is None or replaced is stream:
        return False
    replaced.close()
    calls.break_off_bodies()
    return True


def _note_connected(peer: str, pending: int, is_restarted: bool) -> None:
    _metrics.count_stream('connected')
    _log.note(
        'peer.connected',
        peer=peer,
        pending=pending,
        is_restarted=is_restarted,
    )


def _note_end(peer: str, pending: int, is_closed_here: bool) -> None:
    if is_closed_here:
        _metrics.count_stream('closed')
        _log.note('peer.closed', peer=peer, pending=pending)
    else:
        _metrics.count_stream('lost')
        _log.warning('peer.lost', peer=peer, pending=pending)


def _handle_restart(link: PeerLink, calls: PendingCalls) -> None:
    hint = link.target.make_hint()
    if hint is not None:
        link.send(hint)
    calls.fail('the daemon beside the target restarted')


def _update_target(link: PeerLink, message: object) -> None:
    link.target.update(message)
    link.context.handle_version(link, link.target.version)
    link.context.receive_store_epoch(link.target.store_epoch)


def _make_liveness(link: PeerLink) -> Liveness:
    is_low_bandwidth = (
        link.target.has_low_bandwidth_link
        or link.context.has_low_bandwidth_link
    )
    return Liveness(
        is_local_zone=link.is_local_zone,
        is_low_bandwidth=is_low_bandwidth,
    )
