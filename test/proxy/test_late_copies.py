"""Test against targets that send a second copy of an answer later."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

import attrs
import pytest

from test.proxy.helper import Vm, open_vm, render, send_request

_ID = b'request-id: '


@attrs.define(kw_only=True)
class CopyingTarget:
    """Target that sends a copy of each answer right before the next one.

    ``names_answers`` and ``names_copies`` tell whether they carry the id of
    their request.
    """

    names_answers: bool
    names_copies: bool
    conns: int = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.conns += 1
        copy = b''
        with suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b'\r\n\r\n')).lower()
                request_id = head.split(_ID, 1)[1].split(b'\r\n', 1)[0]
                named = b'Request-Id: %b\r\n' % request_id
                answer = _render(named, b'of %b' % request_id)
                plain = _render(b'', b'of %b' % request_id)
                writer.write(copy)
                writer.write(answer if self.names_answers else plain)
                await writer.drain()
                copy = answer if self.names_copies else plain
        writer.close()


def _render(name: bytes, body: bytes) -> bytes:
    head = b'HTTP/1.1 200 OK\r\n%bAnswer-Proof: p\r\nContent-Length: %d\r\n\r\n'
    return head % (name, len(body)) + body


@asynccontextmanager
async def open_copying(target: CopyingTarget) -> AsyncIterator[Vm]:
    async with open_vm() as vm:
        address = vm.target.address
        vm.target.close()
        host, _, port = address.rpartition(':')
        server = await asyncio.start_server(target.serve, host, int(port))
        vm.send_heartbeat()
        yield vm
        server.close()


@pytest.mark.parametrize('names_copies', [True, False])
@pytest.mark.parametrize('names_answers', [True, False])
async def test_late_copy_of_an_answer_never_reaches_the_next_caller(
    names_answers: bool, names_copies: bool
) -> None:
    target = CopyingTarget(
        names_answers=names_answers, names_copies=names_copies
    )
    async with open_copying(target) as vm:
        for number in range(6):
            request_id = f'r-{number}'
            response = await send_request(vm, render(request_id=request_id))
            assert response.status == 200
            assert response.body == b'of %b' % request_id.encode()
