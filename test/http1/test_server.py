"""Check when a listener counts as idle."""

import asyncio
import socket

import pytest

from goldcrestwharf.http1 import Answer, HttpListener, Request
from goldcrestwharf.http1._caller_conn import CallerConn
from test.helper import LOOPBACK
from test.http1.helper import FakeTransport, run_pending_tasks


async def test_listener_is_idle_only_when_answers_are_sent() -> None:
    """A server that stops at this point drops what is still buffered."""

    async def answer(_: Request) -> Answer:
        return Answer(status=200)

    listener = HttpListener(handler=answer)
    conn = CallerConn(serving=listener.serving)
    transport = FakeTransport()
    conn.connection_made(transport)
    conn.data_received(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')
    await run_pending_tasks()
    transport.unsent = 100
    assert conn.is_idle
    assert not listener.is_idle
    transport.unsent = 0
    assert listener.is_idle


async def test_connection_being_accepted_is_closed_with_its_listener() -> None:
    """It would stay open without an answer until the process has ended."""

    async def answer(_: Request) -> Answer:
        return Answer(status=200)

    listener = HttpListener(handler=answer)
    conn = CallerConn(serving=listener.serving)
    listener.close()
    transport = FakeTransport()
    conn.connection_made(transport)
    assert transport.is_closing()


@pytest.mark.parametrize('turns', range(6))
async def test_connection_is_closed_however_far_its_acceptance_is(
    turns: int,
) -> None:
    """The caller would wait until the process has ended."""

    async def answer(_: Request) -> Answer:
        return Answer(status=200)

    listener = HttpListener(handler=answer)
    host, _, port = (await listener.listen(LOOPBACK)).rpartition(':')
    with socket.create_connection((host, int(port))) as conn:
        conn.setblocking(False)
        await run_pending_tasks(turns)
        listener.close()
        await run_pending_tasks()
        assert is_closed(conn)


@pytest.mark.parametrize('is_draining', [False, True])
async def test_requests_before_a_rejected_message_are_answered(
    *, is_draining: bool
) -> None:
    """Closing would cancel the one in progress and drop the others."""
    gate = asyncio.Event()

    async def answer(_: Request) -> Answer:
        await gate.wait()
        return Answer(status=200)

    listener = HttpListener(handler=answer)
    host, _, port = (await listener.listen(LOOPBACK)).rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    message = b'GET / HTTP/1.1\r\nHost: x\r\n\r\n'
    writer.write(b'%b%b\x16\x03\x01' % (message, message))
    await run_pending_tasks(50)
    if is_draining:
        listener.drain()
    gate.set()
    received = await reader.read()
    writer.close()
    listener.close()
    await run_pending_tasks()
    statuses = [part[:3] for part in received.split(b'HTTP/1.1 ')[1:]]
    assert statuses == [b'200', b'200', b'400']
    assert received.count(b'\r\nConnection: close\r\n') == 1


def is_closed(conn: socket.socket) -> bool:
    try:
        return not conn.recv(1)
    except BlockingIOError:
        return False
    except ConnectionResetError:
        return True
