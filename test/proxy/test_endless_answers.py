"""Test that answers without end hold no slot beyond the deadline."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import attrs
import pytest

from test.policy.helper import make_route, make_snapshot
from test.proxy.bulk import find_transfers
from test.proxy.helper import (
    Vm,
    open_vm,
    render,
    replace_target,
    send_request,
    wait_until,
)

NON_REPEATABLE = make_snapshot(1, make_route(is_repeatable=False, timeout=2))
LONG_TIMEOUT = make_snapshot(1, make_route(is_repeatable=False, timeout=6))
HEAD = b'HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nAnswer-Proof: p\r\n'


class EndlessTarget:
    """Target that sends ``endless`` again and again until it is closed.

    ``open`` counts the connections on which it does.
    """

    def __init__(self, *, start: bytes, endless: bytes, pause: float) -> None:
        self.open = 0
        self._start = start
        self._endless = endless
        self._pause = pause

    async def respond(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        self.open += 1
        try:
            await self._write_all(writer)
        finally:
            self.open -= 1

    async def _write_all(self, writer: asyncio.StreamWriter) -> None:
        writer.write(self._start)
        while not writer.is_closing():
            writer.write(self._endless)
            await writer.drain()
            await asyncio.sleep(self._pause)


@asynccontextmanager
async def open_endless(target: EndlessTarget) -> AsyncIterator[Vm]:
    async with (
        open_vm(NON_REPEATABLE) as vm,
        replace_target(vm, target.respond),
    ):
        yield vm


@pytest.mark.parametrize('pause', [0, 0.01])
@pytest.mark.parametrize(
    ('start', 'endless'),
    [
        (HEAD, b'X-More: and more\r\n' * 100),
        (b'%b\r\n' % HEAD, b'x' * 10_000),
        (
            b'%bTransfer-Encoding: chunked\r\n\r\n' % HEAD,
            b'4\r\nmore\r\n' * 100,
        ),
        (b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 100),
    ],
)
async def test_endless_answer_ends_with_the_deadline_at_the_latest(
    start: bytes, endless: bytes, pause: float
) -> None:
    target = EndlessTarget(start=start, endless=endless, pause=pause)
    async with open_endless(target) as vm:
        response = await send_request(vm, render(deadline_ms=1500))
        assert response.status in {502, 504}
        await wait_until(lambda: vm.daemon.activity().in_flight == 0)
        await wait_until(lambda: target.open == 0)


BODY = b'x' * 2_000_000


async def hold_or_answer(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Answer requests; send most of a body without end if they ask for it."""
    head = await reader.readuntil(b'\r\n\r\n')
    if b'r-slow' in head:
        writer.write(b'%b\r\n%b' % (HEAD.replace(b'r-1', b'r-slow'), BODY))
        await asyncio.sleep(60)
    length = b'Content-Length: %d\r\n\r\n' % len(BODY)
    writer.write(b'%b%b%b' % (HEAD, length, BODY))
    await reader.read()


async def test_slow_answers_without_end_leave_memory_to_whole_ones(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Of 16 MB of memory, six are for answers, and the slow ones want ten."""
    caplog.set_level('INFO')
    async with open_vm(LONG_TIMEOUT) as vm:
        vm._cfg = attrs.evolve(vm._cfg, memory_bytes=16_000_000)
        await vm.restart()
        async with replace_target(vm, hold_or_answer):
            slow = render(request_id='r-slow', deadline_ms=6000)
            tasks = [
                asyncio.create_task(send_request(vm, slow)) for _ in range(5)
            ]
            await wait_until(lambda: any(task.done() for task in tasks))
            response = await send_request(vm, render(deadline_ms=5500))
            assert response.status == 200
            assert response.body == BODY
            statuses = {(await task).status for task in tasks}
            assert statuses <= {502, 504}
            assert find_transfers(vm).responses.used == 0
    # The whole answer needs as much as one more of the slow ones.
    assert 2 <= caplog.text.count('target.response_refused') <= 3
