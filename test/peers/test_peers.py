"""Test streams between daemons with real sockets and injected faults."""

import logging
import struct

import anyio
import attrs
import pytest

from goldcrestwharf.errors import (
    NotSentError,
    OutcomeUnknownError,
    PeerError,
    UnsupportedMessageError,
)
from goldcrestwharf.peers import (
    Handlers,
    PeerConn,
    PeerPool,
    serve_peers,
)
from goldcrestwharf.peers._handshake import SERVER
from goldcrestwharf.peers._listener import PeerContext, open_conn
from goldcrestwharf.timers import ManualTimers, Timers
from goldcrestwharf.wire import Frame, FrameKind, message, pack_frame
from test.helper import LOOPBACK, make_peer_context, make_rng


@message('test.question')
@attrs.frozen(kw_only=True)
class Question:
    text: str


@message('test.unhandled')
@attrs.frozen(kw_only=True)
class Unhandled:
    text: str = ''


class Responder:
    """Handler that blocks on the question ``block`` and fails on ``fail``."""

    def __init__(self) -> None:
        self.handlers = Handlers()
        self.heard: list[str] = []
        self.started = anyio.Event()
        self.cancelled = anyio.Event()
        self.handlers.on(Question)(self.answer)

    async def answer(self, question: Question, conn: PeerConn) -> Question:
        self.heard.append(question.text)
        if question.text == 'fail':
            raise RuntimeError('broken on purpose')
        if question.text == 'block':
            self.started.set()
            try:
                await anyio.sleep_forever()
            finally:
                self.cancelled.set()
        asker = conn.peer.vm
        return Question(text=f'{asker} asked {question.text}')


class Pair:
    """Pool and listener that are connected over loopback."""

    def __init__(self, *, timers: Timers | None = None, **client: object):
        self.responder = Responder()
        self.server = make_peer_context(
            handlers=self.responder.handlers,
            timers=timers,
        )
        self.client = make_peer_context(timers=timers, **client)
        self.address = ''
        self.tg = anyio.create_task_group()

    async def __aenter__(self) -> 'Pair':
        await self.tg.__aenter__()
        self.address = await self.tg.start(serve_peers, LOOPBACK, self.server)
        self.pool = PeerPool(context=self.client, tg=self.tg, rng=make_rng())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        self.tg.cancel_scope.cancel()
        await self.tg.__aexit__(None, None, None)

    async def ask(self, text: str, *, timeout: float = 30) -> object:
        question = Question(text=text)
        return await self.pool.call(self.address, question, timeout=timeout)


async def test_each_concurrent_call_gets_its_own_answer() -> None:
    answers: dict[str, object] = {}

    async with Pair() as pair:

        async def ask(text: str) -> None:
            answers[text] = await pair.ask(text)

        async with anyio.create_task_group() as tg:
            for number in range(200):
                tg.start_soon(ask, str(number))
    assert answers == {
        str(number): Question(text=f'vm-1 asked {number}')
        for number in range(200)
    }


@pytest.mark.parametrize(
    'client',
    [{'key': b'another key'}, {'cluster': 'another'}],
)
async def test_unauthenticated_peer_is_refused(
    client: dict[str, object],
) -> None:
    async with Pair(**client) as pair:
        with pytest.raises(NotSentError):
            await pair.ask('menu')
        assert not pair.responder.heard


async def test_unknown_message_certainly_did_not_run() -> None:
    async with Pair() as pair:
        with pytest.raises(UnsupportedMessageError):
            await pair.pool.call(pair.address, Unhandled(), timeout=30)
        assert await pair.ask('menu')


async def test_failed_handler_leaves_the_outcome_unknown() -> None:
    async with Pair() as pair:
        with pytest.raises(OutcomeUnknownError, match='broken on purpose'):
            await pair.ask('fail')
        assert await pair.ask('menu')


async def test_timed_out_call_is_cancelled_at_the_peer() -> None:
    timers = ManualTimers()
    async with Pair(timers=timers) as pair:

        async def ask() -> None:
            with pytest.raises(OutcomeUnknownError, match='in time'):
                await pair.ask('block', timeout=2)

        async with anyio.create_task_group() as tg:
            tg.start_soon(ask)
            await pair.responder.started.wait()
            await timers.advance(2)
        await pair.responder.cancelled.wait()


async def test_cancelled_call_is_cancelled_at_the_peer() -> None:
    async with Pair() as pair:
        async with anyio.create_task_group() as tg:
            tg.start_soon(pair.ask, 'block')
            await pair.responder.started.wait()
            tg.cancel_scope.cancel()
        await pair.responder.cancelled.wait()


async def test_closed_stream_makes_the_outcome_of_calls_unknown() -> None:
    async with Pair() as pair:

        async def ask() -> None:
            with pytest.raises(OutcomeUnknownError, match='stream ended'):
                await pair.ask('block')

        async with anyio.create_task_group() as tg:
            tg.start_soon(ask)
            await pair.responder.started.wait()
            conn = await pair.pool.connect(pair.address)
            await conn.close()
        assert await pair.ask('menu')


async def test_call_on_a_closed_stream_was_not_sent() -> None:
    async with Pair() as pair:
        conn = await pair.pool.connect(pair.address)
        await conn.close()
        with pytest.raises(NotSentError):
            await conn.call(Question(text='menu'), timeout=30)
        assert not pair.responder.heard


async def test_call_during_backoff_is_refused_with_the_wait() -> None:
    timers = ManualTimers()
    async with Pair(timers=timers) as pair:
        pair.address = '127.0.0.1:1'
        with pytest.raises(NotSentError, match='no stream'):
            await pair.ask('menu')
        with pytest.raises(NotSentError, match='try it again in'):
            await pair.ask('menu')


async def test_call_beyond_max_calls_per_conn_is_refused() -> None:
    async with Pair() as pair:
        cfg = attrs.evolve(pair.server.cfg, max_calls_per_conn=1)
        server = attrs.evolve(pair.server, cfg=cfg)
        pair.address = await pair.tg.start(serve_peers, LOOPBACK, server)
        async with anyio.create_task_group() as tg:
            tg.start_soon(pair.ask, 'block')
            await pair.responder.started.wait()
            with pytest.raises(NotSentError, match='too many'):
                await pair.ask('menu')
            tg.cancel_scope.cancel()
        assert pair.responder.heard == ['block']


async def test_stream_to_a_silent_peer_is_closed() -> None:
    timers = ManualTimers()
    async with Pair(timers=timers) as pair:
        frozen = attrs.evolve(pair.server, timers=ManualTimers())
        pair.address = await pair.tg.start(serve_frozen, frozen)
        conn = await pair.pool.connect(pair.address)
        await timers.advance(2)
        assert not conn.closed.is_set()
        await timers.advance(3)
        assert conn.closed.is_set()


async def serve_frozen(
    context: PeerContext,
    *,
    task_status: anyio.abc.TaskStatus[str],
) -> None:
    """Run the handshake, then send nothing, as a stopped process does."""
    listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    task_status.started(f'127.0.0.1:{port}')

    async def accept(stream: anyio.abc.SocketStream) -> None:
        await open_conn(stream, context, side=SERVER)
        await anyio.sleep_forever()

    await listener.serve(accept)


@pytest.mark.parametrize(
    'junk',
    [
        b'GET / HTTP/1.1\r\nhost: x\r\n\r\n',
        struct.pack('>IBI', 2**31, 0, 0),
        pack_frame(Frame(kind=FrameKind.SEND, payload=b'\xc1')),
        pack_frame(Frame(kind=FrameKind.PING)),
    ],
)
async def test_junk_before_the_handshake_is_refused(
    junk: bytes,
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.WARNING)
    async with Pair() as pair:
        host, port = pair.address.rsplit(':', 1)
        async with await anyio.connect_tcp(host, int(port)) as stream:
            await stream.send(junk)
            with pytest.raises(anyio.EndOfStream):
                while True:
                    await stream.receive()
        assert await pair.ask('menu')
    assert 'peer.handshake_refused' in caplog.text


async def advance_beyond_idle_timeout(timers: ManualTimers) -> None:
    """Advance the clock beyond the idle timeout of a stream."""
    for _ in range(25):
        await timers.advance(1)


async def test_idle_stream_is_closed_and_opened_again() -> None:
    timers = ManualTimers()
    async with Pair(timers=timers) as pair:
        conn = await pair.pool.connect(pair.address)
        for _ in range(4):
            await pair.ask('menu')
            await timers.advance(5)
        assert not conn.closed.is_set()
        await advance_beyond_idle_timeout(timers)
        assert conn.closed.is_set()
        assert await pair.ask('menu again')


async def test_stream_with_a_call_under_way_is_not_idle() -> None:
    timers = ManualTimers()
    async with Pair(timers=timers) as pair, anyio.create_task_group() as tg:
        tg.start_soon(pair.ask, 'block')
        await pair.responder.started.wait()
        conn = await pair.pool.connect(pair.address)
        for _ in range(25):
            await timers.advance(1)
        assert not conn.closed.is_set()
        tg.cancel_scope.cancel()


async def test_malformed_message_does_not_affect_other_calls() -> None:
    async with Pair() as pair:
        conn = await pair.pool.connect(pair.address)
        junk = Frame(kind=FrameKind.CALL, channel=9, payload=b'\xc1')
        await conn._link.write(junk)
        assert await conn.call(Question(text='menu'), timeout=30)
        with pytest.raises(PeerError):
            await pair.ask('fail')
