"""Test the outcome of calls whose stream blocks or ends."""

import anyio
import attrs
import pytest
from anyio.abc import ByteStream

from goldcrestwharf.errors import NotSentError, OutcomeUnknownError
from goldcrestwharf.peers import Handlers, PeerConn, PeerSettings
from goldcrestwharf.peers._link import Link
from goldcrestwharf.timers import ManualTimers
from goldcrestwharf.wire import (
    MAX_FRAME_BYTES,
    Frame,
    FrameKind,
    FrameReader,
    decode,
    encode,
    message,
    pack_frame,
)
from test.helper import make_identity


@message('test.order')
@attrs.frozen(kw_only=True)
class Order:
    meal: str = ''


class StalledStream(ByteStream):
    """Stream that blocks after ``accepted`` writes until ``freed`` is set."""

    def __init__(self, *, accepted: int) -> None:
        self.written: list[bytes] = []
        self.incoming: list[bytes] = []
        self.freed = anyio.Event()
        self._accepted = accepted
        self._closed = anyio.Event()

    async def send(self, chunk: bytes) -> None:  # type: ignore[override]
        self.written.append(chunk)
        if len(self.written) > self._accepted:
            await self.freed.wait()
        if self._closed.is_set():
            raise anyio.ClosedResourceError

    async def receive(self, max_bytes: int = 65_536) -> bytes:
        if self.incoming:
            return self.incoming.pop(0)
        await self._closed.wait()
        raise anyio.ClosedResourceError

    async def send_eof(self) -> None:
        await self.aclose()

    async def aclose(self) -> None:
        self._closed.set()
        self.freed.set()


def make_conn(
    stream: StalledStream,
    timers: ManualTimers,
    handlers: Handlers | None = None,
) -> PeerConn:
    reader = FrameReader(stream=stream)
    return PeerConn(
        link=Link(stream=stream, reader=reader, timers=timers),
        peer=make_identity(),
        handlers=handlers or Handlers(),
        timers=timers,
        cfg=PeerSettings(),
    )


async def ask(conn: PeerConn, outcomes: list[type]) -> None:
    try:
        await conn.call(Order(), timeout=0.5)
    except (NotSentError, OutcomeUnknownError) as exc:
        outcomes.append(type(exc))


async def test_call_behind_a_blocked_write_was_not_sent() -> None:
    timers = ManualTimers()
    stream = StalledStream(accepted=0)
    conn = make_conn(stream, timers)
    outcomes: list[type] = []
    async with anyio.create_task_group() as tg:
        tg.start_soon(conn.run)
        tg.start_soon(ask, conn, outcomes)
        await anyio.wait_all_tasks_blocked()
        tg.start_soon(ask, conn, outcomes)
        await timers.advance(0.5)
        assert outcomes == [OutcomeUnknownError, NotSentError]
        stream.freed.set()
        await anyio.wait_all_tasks_blocked()
        tg.cancel_scope.cancel()
    frames = b''.join(stream.written)
    assert frames.count(encode(Order())) == 1


async def test_only_written_calls_are_unknown_when_the_stream_ends() -> None:
    timers = ManualTimers()
    conn = make_conn(StalledStream(accepted=0), timers)
    outcomes: list[type] = []
    async with anyio.create_task_group() as tg:
        tg.start_soon(conn.run)
        tg.start_soon(ask, conn, outcomes)
        await anyio.wait_all_tasks_blocked()
        tg.start_soon(ask, conn, outcomes)
        await anyio.wait_all_tasks_blocked()
        await conn.close()
    assert outcomes == [OutcomeUnknownError, NotSentError]


async def test_cancellation_right_after_its_call_is_not_lost() -> None:
    timers = ManualTimers()
    stream = StalledStream(accepted=10)
    handlers = Handlers()
    ended: list[str] = []

    @handlers.on(Order)
    async def serve(order: Order, _conn: PeerConn) -> Order:
        try:
            await anyio.sleep_forever()
        finally:
            ended.append(order.meal)
        return order

    order = Frame(
        kind=FrameKind.CALL,
        channel=7,
        payload=encode(Order(meal='soup')),
    )
    cancel = Frame(kind=FrameKind.CANCEL, channel=7)
    stream.incoming.append(pack_frame(order) + pack_frame(cancel))
    async with anyio.create_task_group() as tg:
        tg.start_soon(make_conn(stream, timers, handlers).run)
        await anyio.wait_all_tasks_blocked()
        assert ended == ['soup']
        tg.cancel_scope.cancel()
    assert not stream.written


async def test_too_large_reply_fails_the_call_and_not_the_stream() -> None:
    timers = ManualTimers()
    stream = StalledStream(accepted=10)
    handlers = Handlers()

    @handlers.on(Order)
    async def serve(order: Order, _conn: PeerConn) -> Order:
        return Order(meal='x' * MAX_FRAME_BYTES)

    order = Frame(kind=FrameKind.CALL, channel=7, payload=encode(Order()))
    stream.incoming.append(pack_frame(order))
    conn = make_conn(stream, timers, handlers)
    async with anyio.create_task_group() as tg:
        tg.start_soon(conn.run)
        await anyio.wait_all_tasks_blocked()
        assert not conn.closed.is_set()
        tg.cancel_scope.cancel()
    assert [chunk[4] for chunk in stream.written] == [FrameKind.FAIL]


@pytest.mark.parametrize('pause', [2, 60])
async def test_local_pause_does_not_count_as_silence_of_the_peer(
    pause: float,
) -> None:
    timers = PausedTimers(pause=pause)
    conn = make_conn(StalledStream(accepted=10), timers)
    async with anyio.create_task_group() as tg:
        tg.start_soon(conn.run)
        await timers.advance(1)
        assert not conn.closed.is_set()
        await timers.advance(4)
        assert conn.closed.is_set()
        tg.cancel_scope.cancel()


async def test_large_call_that_times_out_between_parts_was_not_sent() -> None:
    timers = ManualTimers()
    stream = StalledStream(accepted=1)
    conn = make_conn(stream, timers)
    outcomes: list[type] = []

    async def send_large() -> None:
        with pytest.raises(NotSentError):
            await conn.call(Order(meal='x' * 300_000), timeout=0.5)
        outcomes.append(NotSentError)

    async with anyio.create_task_group() as tg:
        tg.start_soon(conn.run)
        tg.start_soon(send_large)
        await timers.advance(0.5)
        assert outcomes == [NotSentError]
        stream.freed.set()
        tg.start_soon(ask, conn, outcomes)
        await anyio.wait_all_tasks_blocked()
        tg.cancel_scope.cancel()
    sent = b''.join(stream.written)
    assert len(sent) < 300_000
    frame = await FrameReader(stream=WrittenBytes(sent)).read()
    assert decode(frame.payload) == Order()


class WrittenBytes(StalledStream):
    """Stream that yields what was written to another one."""

    def __init__(self, written: bytes) -> None:
        super().__init__(accepted=0)
        self.incoming.append(written)


async def test_small_call_waits_for_one_part_of_a_large_one_at_most() -> None:
    stream = StalledStream(accepted=0)
    conn = make_conn(stream, ManualTimers())
    async with anyio.create_task_group() as tg:
        tg.start_soon(conn.run)
        large = Order(meal='x' * 300_000)
        tg.start_soon(conn.send, large)
        await anyio.wait_all_tasks_blocked()
        tg.start_soon(ask, conn, [])
        await anyio.wait_all_tasks_blocked()
        stream.freed.set()
        await anyio.wait_all_tasks_blocked()
        tg.cancel_scope.cancel()
    assert encode(Order()) in stream.written[1]
    reader = FrameReader(stream=WrittenBytes(b''.join(stream.written)))
    frames = [await reader.read(), await reader.read()]
    assert [decode(frame.payload) for frame in frames] == [Order(), large]


class PausedTimers(ManualTimers):
    """Timers of a process that is paused for ``pause`` seconds after 0.5 s."""

    def __init__(self, *, pause: float) -> None:
        super().__init__()
        self._pause = pause

    def now(self) -> float:
        earlier = super().now()
        return earlier + self._pause if earlier > 0.5 else earlier
