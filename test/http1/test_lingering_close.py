"""Check over real sockets that a close doesn't destroy an answer."""

import asyncio
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import attrs
import pytest

from goldcrestwharf.http1 import Answer, CallerLimits, HttpListener, Request
from goldcrestwharf.http1._lingering_close import LingeringClose
from test.helper import LOOPBACK
from test.http1.helper import FakeTransport, run_pending_tasks

#: Larger than the buffers of the kernel, in bytes.
LARGE_BODY = bytes(8_000_000)

#: Larger than the buffers of the kernel, in bytes.
LARGE_UPLOAD = bytes(16_000_000).replace(b'\0', b'a')

WINDOW_BYTES = 4096

LIMITS = CallerLimits(max_head_bytes=4000, max_body_bytes=4000)

CLOSING = b'GET /large HTTP/1.1\r\nConnection: close\r\n\r\n'
KEPT = b'GET /large HTTP/1.1\r\nHost: x\r\n\r\n'
SMALL = b'GET /small HTTP/1.1\r\nHost: x\r\n\r\n'


@attrs.define(kw_only=True, eq=False)
class Served:
    """A listener and a caller that is connected to it."""

    listener: HttpListener
    conn: socket.socket

    async def send(self, message: bytes) -> None:
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(self.conn, message)

    async def read_all(self) -> bytes:
        """Return what the caller reads up to the end of the connection."""
        loop = asyncio.get_running_loop()
        received = bytearray()
        chunk = await loop.sock_recv(self.conn, len(LARGE_BODY))
        while chunk:
            received += chunk
            chunk = await loop.sock_recv(self.conn, len(LARGE_BODY))
        return bytes(received)


async def answer(req: Request) -> Answer:
    body = LARGE_BODY if req.path == '/large' else b'small'
    return Answer(status=200, body=body)


@asynccontextmanager
async def serve(limits: CallerLimits = LIMITS) -> AsyncIterator[Served]:
    listener = HttpListener(handler=answer, limits=lambda: limits)
    host, _, port = (await listener.listen(LOOPBACK)).partition(':')
    with socket.socket() as conn:
        conn.setblocking(False)
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        await asyncio.get_running_loop().sock_connect(conn, (host, int(port)))
        try:
            yield Served(listener=listener, conn=conn)
        finally:
            listener.close()
            await run_pending_tasks()


@pytest.mark.parametrize(
    ('message', 'status'),
    [
        (b'POST / HTTP/1.1\r\nContent-Length: 16000000\r\n\r\n', 413),
        (b'GET /', 431),
        (b'\x16\x03\x01', 400),
    ],
)
async def test_rejection_reaches_a_caller_that_first_sends_all(
    message: bytes, status: int
) -> None:
    """Closing with unread bytes resets the connection."""
    async with serve() as served:
        await served.send(message)
        await served.send(LARGE_UPLOAD)
        received = await served.read_all()
    assert received.startswith(b'HTTP/1.1 %d ' % status)


@pytest.mark.parametrize('is_draining', [False, True])
async def test_last_answer_reaches_a_caller_that_sends_behind_it(
    *, is_draining: bool
) -> None:
    """Closing with unread bytes resets the connection."""
    async with serve() as served:
        if is_draining:
            served.listener.drain()
        await served.send(KEPT if is_draining else CLOSING)
        await run_pending_tasks(50)
        await served.send(SMALL)
        received = await served.read_all()
    assert received.startswith(b'HTTP/1.1 200 ')
    assert len(received) > len(LARGE_BODY)
    assert received.count(b'HTTP/1.1 ') == 1


async def test_answer_to_a_slow_request_reaches_a_caller_that_sends_on() -> (
    None
):
    """Closing with unread bytes resets the connection."""
    async with serve(attrs.evolve(LIMITS, head_timeout=0)) as served:
        await served.send(KEPT[:-2])
        await asyncio.get_running_loop().sock_recv(served.conn, 1)
        await served.send(b'\r\n')
        await served.send(LARGE_UPLOAD)
        received = await served.read_all()
    assert received.startswith(b'TTP/1.1 408 ')


async def test_answer_read_after_the_idle_timeout_is_complete() -> None:
    """Closing with unread bytes resets the connection."""
    async with serve(attrs.evolve(LIMITS, idle_timeout=0)) as served:
        await served.send(KEPT)
        await run_pending_tasks(50)
        assert served.listener.count_unsent()
        for conn in tuple(served.listener.serving.conns):
            conn.close_on_timeout(asyncio.get_running_loop().time())
        await served.send(SMALL)
        received = await served.read_all()
    assert len(received) > len(LARGE_BODY)


async def test_connection_that_lingers_does_not_hold_up_a_stop() -> None:
    """Callers that keep their side open would delay it."""
    async with serve() as served:
        await served.send(SMALL.replace(b'Host: x', b'Connection: close'))
        assert await served.read_all()
        assert served.listener.serving.conns
        assert served.listener.is_idle


def begin_close(transport: FakeTransport) -> LingeringClose:
    return LingeringClose(transport=transport, now=0, read_timeout=9)


async def test_caller_that_stops_reading_is_closed_in_a_bounded_time() -> None:
    """Its connection and the rest of its answer would be held for ever."""
    transport = FakeTransport()
    transport.unsent = 100
    closing = begin_close(transport)
    closing.check(8)
    transport.unsent = 50
    closing.check(10)
    closing.check(18)
    assert not transport.is_closing()
    closing.check(20)
    assert transport.is_aborted


async def test_caller_has_time_to_read_after_all_was_sent() -> None:
    """The time until then would be taken off it."""
    transport = FakeTransport()
    transport.unsent = 100
    closing = begin_close(transport)
    transport.unsent = 0
    closing.check(5)
    closing.check(6)
    assert not transport.is_closing()
    closing.check(8)
    assert transport.is_closed
    assert not transport.is_aborted
