"""Check the graceful and the forced stop of the HTTP server."""

import asyncio

import anyio
import httpx
import pytest
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import PlainTextResponse
from starlette.routing import Route

from goldcrestwharf.servers import HttpServer
from test.helper import LOOPBACK


class SlowServer:
    """A server whose application answers once ``finish`` is set."""

    def __init__(self, *, graceful_timeout: float) -> None:
        self.started = anyio.Event()
        self.finish = anyio.Event()
        self.server = HttpServer(
            app=Starlette(routes=[Route('/', self.answer)]),
            address=LOOPBACK,
            graceful_timeout=graceful_timeout,
        )

    async def answer(self, _request: Request) -> PlainTextResponse:
        self.started.set()
        await self.finish.wait()
        return PlainTextResponse('done')


async def test_stop_finishes_requests_in_flight() -> None:
    slow = SlowServer(graceful_timeout=30)
    answers: list[str] = []

    async def send_request(address: str) -> None:
        async with httpx.AsyncClient(trust_env=False) as client:
            answer = await client.get(f'http://{address}/', timeout=30)
            answers.append(answer.text)

    async with anyio.create_task_group() as tg:
        address = await tg.start(slow.server.run)
        tg.start_soon(send_request, address)
        await slow.started.wait()
        slow.server.stop()
        await anyio.wait_all_tasks_blocked()
        assert not slow.server.stopped.is_set()
        slow.finish.set()
        await slow.server.stopped.wait()
    assert answers == ['done']


@pytest.mark.parametrize('is_stopped', [True, False])
async def test_server_ends_although_a_request_does_not(
    is_stopped: bool,
) -> None:
    # asyncio's own callback reports the task that hypercorn cancels.
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _loop, _context: None)
    slow = SlowServer(graceful_timeout=0.05)

    async def send_request(address: str) -> None:
        async with httpx.AsyncClient(trust_env=False) as client:
            answer = await client.get(f'http://{address}/', timeout=30)
            assert answer.is_server_error

    async with (
        anyio.create_task_group() as outer,
        anyio.create_task_group() as tg,
    ):
        address = await tg.start(slow.server.run)
        outer.start_soon(send_request, address)
        await slow.started.wait()
        if is_stopped:
            slow.server.stop()
        else:
            tg.cancel_scope.cancel()
    assert slow.server.stopped.is_set()
