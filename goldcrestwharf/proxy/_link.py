"""Keep a stream to one other daemon and send orders over it."""

import asyncio

from goldcrestwharf.admission import Refusal, RefusalReason
from goldcrestwharf.discovery import DaemonRecord
from goldcrestwharf.loglines import EventLog
from goldcrestwharf.proxy import _metrics
from goldcrestwharf.proxy._calls import Calls
from goldcrestwharf.proxy._dialing import Redial, dial
from goldcrestwharf.proxy._document_messages import Document
from goldcrestwharf.proxy._link_context import LinkContext
from goldcrestwharf.proxy._liveness import Liveness, Verdict
from goldcrestwharf.proxy._order import RunOrder
from goldcrestwharf.proxy._outcomes import Reply
from goldcrestwharf.proxy._peer_messages import Hello, Known, Ping
from goldcrestwharf.proxy._peer_target import PeerTarget
from goldcrestwharf.proxy._replies import ReplyMessage
from goldcrestwharf.proxy._stream import MessageStream

_log = EventLog(__name__)

#: Seconds after the end of a stream in which a new one may still bring the
#: answers; longer, and callers would be held for a daemon that is gone.
REJOIN_S = 1.0


class PeerLink:
    """Hold the stream to one daemon, and the candidate of its target.

    A stream that breaks is opened anew. What became of a request whose
    answer was under way is asked over the new one, unless it may run twice.
    """

    def __init__(self, *, record: DaemonRecord, context: LinkContext) -> None:
        """Link to the daemon of ``record``."""
        self.record = record
        self.name = record.name
        self.target = PeerTarget(
            record=record,
            local_zone=context.local_zone,
            clock=context.clock,
        )
        self.redial = Redial(rng=context.rng)
        self.context = context
        self.is_local_zone = record.zone == context.local_zone
        self._calls = Calls(send=self.send, load=self.target.load)
        self._opening: MessageStream | None = None
        self._stream: MessageStream | None = None
        self._process = ''
        self._liveness = _make_liveness(self)

    @property
    def is_up(self) -> bool:
        """Tell whether orders can be sent."""
        return self._stream is not None

    async def run(self) -> None:
        """Connect, and again whenever the stream ends, until cancelled."""
        while True:
            stream = await dial(
                self.record.address,
                receive=self._receive,
                note_end=self._note_end,
            )
            if stream is not None:
                self._opening = stream
                stream.send(self.context.make_hello(self.name))
                await self.redial.stream_ended()
            await self.redial.wait()

    def send(self, message: object) -> None:
        """Send a message if the stream is up."""
        if self._stream is not None:
            self._stream.send(message)

    def close(self) -> None:
        """End the stream."""
        if self._stream is not None:
            self._stream.close()

    def check(self, now: float) -> None:
        """Ping a quiet stream and give up a silent one."""
        stream = self._stream or self._opening
        if stream is None or not stream.is_open:
            return
        verdict = self._liveness.judge(
            last_heard=stream.last_heard,
            last_sent=stream.last_sent,
            now=now,
            is_busy=bool(self._calls),
        )
        if verdict is Verdict.PING:
            stream.send(Ping(number=0))
        elif verdict is Verdict.CLOSE:
            _metrics.count_stream('silent')
            _log.warn(
                'peer.silent',
                peer=self.name,
                quiet_s=round(now - stream.last_heard, 3),
            )
            stream.close()

    async def call(self, order: RunOrder) -> Reply:
        """Return what came of an order."""
        if self._stream is None:
            refusal = Refusal(reason=RefusalReason.NOT_SENT)
            return Reply(outcome=refusal, report=None)
        return await self._calls.call(next(self.context.numbers), order)

    def _receive(self, stream: MessageStream, message: object) -> None:
        if isinstance(message, ReplyMessage):
            self._calls.settle(message)
        elif isinstance(message, Hello):
            self._begin(stream, message)
        elif isinstance(message, Document):
            self.context.receive_document(self, message)
        elif isinstance(message, Known):
            self.context.receive_known(message)
        else:
            self.target.note(message)
            self.context.note_version(self, self.target.version)

    def _begin(self, stream: MessageStream, hello: Hello) -> None:
        self.context.receive_hello(hello)
        if hello.name != self.name:
            # The address was given to another daemon.
            stream.close()
            return
        self._stream = stream
        self._opening = None
        self.target.note(hello)
        self._liveness = _make_liveness(self)
        self.redial.note_success()
        _metrics.count_stream('connected')
        is_restarted = hello.process != self._process
        self._process = hello.process
        _log.note(
            'peer.connected',
            peer=self.name,
            pending=len(self._calls),
            is_restarted=is_restarted,
        )
        if is_restarted:
            self._calls.lose_all('the daemon beside the target restarted')
        self._calls.inquire()
        self.context.note_version(self, hello.version)

    def _note_end(self, stream: MessageStream) -> None:
        self.redial.note_end()
        if self._stream is stream:
            self._stream = None
            _metrics.count_stream('lost')
            _log.warn(
                'peer.lost',
                peer=self.name,
                pending=len(self._calls),
            )
            self._calls.lose_repeatable('the stream to the target broke')
            loop = asyncio.get_running_loop()
            loop.call_later(
                REJOIN_S,
                self._calls.lose_unless,
                lambda: self.is_up,
                'the daemon beside the target is cut off',
            )


def _make_liveness(link: PeerLink) -> Liveness:
    is_narrow = link.target.has_narrow_link or link.context.has_narrow_link
    return Liveness(is_local_zone=link.is_local_zone, is_narrow=is_narrow)
