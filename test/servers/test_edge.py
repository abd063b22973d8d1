"""Check that every request that the application began survives a stop."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import pytest

from goldcrestwharf.http1 import CallerLimits, ClientConn, ExchangeError
from goldcrestwharf.http1 import connect as open_conn
from goldcrestwharf.servers import EdgeServer
from test.helper import LOOPBACK

Receive = Callable[[], Awaitable[object]]
Send = Callable[[dict[str, object]], Awaitable[None]]

CONNECTIONS = 40
MESSAGE = b'GET /%d HTTP/1.1\r\nHost: x\r\n\r\n'


class App:
    """An application that answers after 10 ms and records its requests."""

    def __init__(self) -> None:
        self.begun: list[str] = []

    async def __call__(
        self,
        scope: dict[str, Any],
        receive: Receive,
        send: Send,
    ) -> None:
        self.begun.append(scope['path'])
        await receive()
        await asyncio.sleep(0.01)
        head = {'type': 'http.response.start', 'status': 200, 'headers': []}
        await send(head)
        await send({'type': 'http.response.body', 'body': b'done'})


async def send_request(conn: ClientConn, number: int) -> str | None:
    """Return the path if it was answered, ``None`` if the exchange failed."""
    try:
        await conn.exchange(MESSAGE % number)
    except ExchangeError:
        return None
    return f'/{number}'


def make_server(app: App) -> EdgeServer:
    return EdgeServer(app=app, address=LOOPBACK, limits=CallerLimits())


@pytest.mark.parametrize('turns', [0, 1, 2, 3, 5])
async def test_request_concurrent_with_stop_is_answered_if_it_began(
    turns: int,
) -> None:
    app = App()
    server = make_server(app)
    async with anyio.create_task_group() as tg:
        address = await tg.start(server.run)
        answered = await send_around_stop(server, app, address, turns)
    assert set(app.begun) == {path for path in answered if path}


@pytest.mark.parametrize('turns', range(9))
async def test_request_after_stop_is_answered_if_it_began(
    turns: int,
) -> None:
    app = App()
    server = make_server(app)
    async with anyio.create_task_group() as tg:
        address = await tg.start(server.run)
        conn = await open_conn(address, timeout=5)
        await send_request(conn, 0)
        app.begun.clear()
        server.stop()
        for _ in range(turns):
            await asyncio.sleep(0)
        answered = await send_request(conn, 1)
    assert app.begun == [path for path in (answered,) if path]


async def send_around_stop(
    server: EdgeServer,
    app: App,
    address: str,
    turns: int,
) -> list[str | None]:
    conns = [await open_conn(address, timeout=5) for _ in range(CONNECTIONS)]
    # Send one request on each connection first, so that all are kept alive.
    await asyncio.gather(*(send_request(conn, 0) for conn in conns))
    app.begun.clear()
    pending = [
        asyncio.create_task(send_request(conn, number))
        for number, conn in enumerate(conns)
    ]
    for _ in range(turns):
        await asyncio.sleep(0)
    server.stop()
    return await asyncio.gather(*pending)


async def test_stop_with_zero_graceful_timeout_ends_the_server() -> None:
    app = App()
    server = EdgeServer(
        app=app,
        address=LOOPBACK,
        limits=CallerLimits(),
        graceful_timeout=0,
    )
    async with anyio.create_task_group() as tg:
        await tg.start(server.run)
        server.stop()
    assert server.stopped.is_set()


async def test_stop_waits_for_a_partly_received_request() -> None:
    app = App()
    server = make_server(app)
    async with anyio.create_task_group() as tg:
        address = await tg.start(server.run)
        host, _, port = address.rpartition(':')
        stream = await anyio.connect_tcp(host, int(port))
        await stream.send(b'POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\nab')
        await asyncio.sleep(0.05)
        server.stop()
        await asyncio.sleep(0.05)
        await stream.send(b'cd')
        answer = await stream.receive()
        await stream.aclose()
    assert answer.startswith(b'HTTP/1.1 200 ')
    assert app.begun == ['/']


async def test_requests_at_the_end_of_a_stop_are_all_answered() -> None:
    """Those behind one that outlasts the stop would be closed unanswered."""
    is_begun = asyncio.Event()

    async def hang(scope: object, receive: Receive, send: Send) -> None:
        is_begun.set()
        await asyncio.Event().wait()

    server = EdgeServer(
        app=hang, address=LOOPBACK, limits=CallerLimits(), graceful_timeout=0
    )
    async with anyio.create_task_group() as tg:
        host, _, port = (await tg.start(server.run)).rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b''.join(MESSAGE % number for number in range(3)))
        await is_begun.wait()
        server.stop()
        received = await reader.read()
        writer.close()
    statuses = [part[:3] for part in received.split(b'HTTP/1.1 ')[1:]]
    assert statuses == [b'504', b'503', b'503']
