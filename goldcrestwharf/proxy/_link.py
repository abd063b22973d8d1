"""Keep a stream to one other daemon and send orders over it."""

import asyncio
import itertools
import random
from collections.abc import Callable

import attrs

from goldcrestwharf.admission import Refusal, RefusalReason
from goldcrestwharf.discovery import DaemonRecord
from goldcrestwharf.loglines import EventLog
from goldcrestwharf.placement import LoadView, Place
from goldcrestwharf.proxy import _frames
from goldcrestwharf.proxy._order import RunOrder
from goldcrestwharf.proxy._outcomes import Lost, Reply
from goldcrestwharf.proxy._stream import MessageStream

_log = EventLog(__name__)

#: Seconds in which another daemon accepts a connection and introduces itself.
_CONNECT_TIMEOUT_S = 0.6

#: Seconds of silence after which an idle stream is pinged.
_IDLE_PING_S = 1.0

#: The same for a stream with unanswered requests, less than an objective.
_BUSY_PING_S = 0.2

#: Seconds without any sign of life after a ping until the stream is given up.
_SILENCE_S = 0.6

#: Bounds of the wait between two attempts to connect, in seconds.
_LEAST_BACKOFF_S = 0.05
_MOST_BACKOFF_S = 1.5

_MS_PER_S = 1000


@attrs.define(kw_only=True, eq=False)
class _Pending:
    future: 'asyncio.Future[Reply]'
    is_repeatable: bool


@attrs.frozen(kw_only=True)
class LinkContext:
    """Hold what all links of a daemon share."""

    make_hello: Callable[[], _frames.Hello]
    receive_hello: Callable[[_frames.Hello], None]
    receive_document: Callable[[_frames.Document], None]
    note_version: Callable[['PeerLink', int], None]
    clock: Callable[[], float]
    rng: random.Random
    own_zone: str
    numbers: 'itertools.count[int]'


class PeerLink:
    """Hold the stream to one daemon, and the place of its target.

    A stream that breaks is opened anew. What a request came to whose answer
    was under way is asked over the new one, unless it may run twice.
    """

    def __init__(self, *, record: DaemonRecord, context: LinkContext) -> None:
        """Link to the daemon of ``record``."""
        self.record = record
        self.place: Place | None = None
        self.load = LoadView()
        self._context = context
        self._stream: MessageStream | None = None
        self._process = ''
        self._pending: dict[int, _Pending] = {}
        self._pinged_at: float | None = None
        self._ended = asyncio.Event()
        self._wake = asyncio.Event()

    @property
    def is_up(self) -> bool:
        """Tell whether orders can be sent."""
        return self._stream is not None

    async def run(self) -> None:
        """Connect, and again whenever the stream ends, until cancelled."""
        failures = 0
        while True:
            if await self._connect():
                failures = 0
                await self._ended.wait()
            failures += 1
            await self._back_off(failures)

    def hurry(self) -> None:
        """Connect at once: the daemon has just shown that it lives."""
        self._wake.set()

    def close(self) -> None:
        """End the stream."""
        if self._stream is not None:
            self._stream.close()

    def check(self, now: float) -> None:
        """Ping a quiet stream and give up a silent one."""
        stream = self._stream
        if stream is None:
            return
        quiet = now - stream.last_heard
        if self._pinged_at is not None and stream.last_heard > self._pinged_at:
            self._pinged_at = None
        if self._pinged_at is not None:
            if now - self._pinged_at > _SILENCE_S:
                _log.warning('peer.silent', **self._fields(quiet=quiet))
                stream.close()
            return
        if quiet > (_BUSY_PING_S if self._pending else _IDLE_PING_S):
            self._pinged_at = now
            stream.send(_frames.Ping(number=0))

    def fetch(self, version: int) -> None:
        """Ask for a configuration newer than ``version``."""
        if self._stream is not None:
            self._stream.send(_frames.Fetch(version=version))

    async def call(self, order: RunOrder) -> Reply:
        """Return what came of an order.

        Cancelling the call has the other daemon give the order up.
        """
        stream = self._stream
        if stream is None:
            refusal = Refusal(reason=RefusalReason.NOT_SENT)
            return Reply(outcome=refusal, report=None)
        number = next(self._context.numbers)
        future: asyncio.Future[Reply] = (
            asyncio.get_running_loop().create_future()
        )
        self._pending[number] = _Pending(
            future=future,
            is_repeatable=order.is_repeatable,
        )
        stream.send(_frames.make_run(number, order))
        self.load.outstanding += 1
        try:
            return await future
        except asyncio.CancelledError:
            if self._stream is not None:
                self._stream.send(_frames.Cancel(number=number))
            raise
        finally:
            self.load.outstanding -= 1
            self._pending.pop(number, None)

    async def _connect(self) -> bool:
        loop = asyncio.get_running_loop()
        host, _, port = self.record.address.rpartition(':')
        self._ended.clear()
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                _, stream = await loop.create_connection(
                    lambda: MessageStream(
                        receive=self._receive,
                        note_end=self._note_end,
                    ),
                    host,
                    int(port),
                )
        except OSError:
            return False
        stream.send(self._context.make_hello())
        return True

    async def _back_off(self, failures: int) -> None:
        bound = min(_LEAST_BACKOFF_S * 2 ** min(failures, 8), _MOST_BACKOFF_S)
        self._wake.clear()
        try:
            async with asyncio.timeout(bound * self._context.rng.random()):
                await self._wake.wait()
        except TimeoutError:
            return

    def _receive(self, stream: MessageStream, message: object) -> None:
        if isinstance(
            message,
            _frames.Answered | _frames.NotRun | _frames.OutcomeLost,
        ):
            self._settle(message)
        elif isinstance(message, _frames.Pong):
            self.load.note(_frames.read_report(message.report))
            self._context.note_version(self, message.version)
        elif isinstance(message, _frames.TargetState):
            self._note_target(message)
        elif isinstance(message, _frames.Hello):
            self._begin(stream, message)
        elif isinstance(message, _frames.Document):
            self._context.receive_document(message)

    def _begin(self, stream: MessageStream, hello: _frames.Hello) -> None:
        if hello.name != self.record.name:
            stream.close()
            return
        is_restarted = hello.process != self._process
        self._process = hello.process
        self._stream = stream
        self._pinged_at = None
        _log.info('peer.connected', **self._fields(restarted=is_restarted))
        if is_restarted:
            self._lose_all('the daemon beside the target restarted')
        elif self._pending:
            numbers = list(self._pending)
            stream.send(_frames.Inquire(numbers=numbers))
        self._context.receive_hello(hello)
        self._context.note_version(self, hello.version)

    def _settle(
        self,
        message: _frames.Answered | _frames.NotRun | _frames.OutcomeLost,
    ) -> None:
        reply = _frames.read_reply(message)
        pending = self._pending.get(message.number)
        if pending is not None and not pending.future.done():
            self._pending.pop(message.number)
            pending.future.set_result(reply)
        # The request that ends here is not in the report any more.
        self.load.outstanding -= 1 if pending else 0
        if reply.report is not None:
            self.load.note(reply.report)
        self.load.outstanding += 1 if pending else 0

    def _note_target(self, message: _frames.TargetState) -> None:
        self.load.note(_frames.read_report(message.report))
        if not message.instance_id:
            self.place = None
            return
        cold = message.cold_ms / _MS_PER_S
        self.place = Place(
            daemon=self.record.name,
            instance_id=message.instance_id,
            service=message.service,
            is_own_zone=self.record.zone == self._context.own_zone,
            is_draining=message.is_draining,
            cold_until=self._context.clock() + cold,
            load=self.load,
        )

    def _note_end(self, stream: MessageStream) -> None:
        if self._stream in {stream, None}:
            was_up = self._stream is not None
            self._stream = None
            self._ended.set()
            if was_up:
                _log.warning('peer.lost', **self._fields())
                self._lose_repeatable()

    def _lose_repeatable(self) -> None:
        for number, pending in tuple(self._pending.items()):
            if pending.is_repeatable:
                self._pending.pop(number)
                _lose(pending, 'the stream to the target broke')

    def _lose_all(self, reason: str) -> None:
        pending, self._pending = self._pending, {}
        for entry in pending.values():
            _lose(entry, reason)

    def _fields(self, **more: object) -> dict[str, object]:
        pending = len(self._pending)
        return {'peer': self.record.name, 'pending': pending, **more}


def _lose(pending: _Pending, reason: str) -> None:
    if not pending.future.done():
        pending.future.set_result(
            Reply(outcome=Lost(reason=reason), report=None),
        )
