"""Test against targets that send a second copy of an answer later."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import attrs
import pytest

from test.proxy.helper import Vm, open_vm, render, replace_target, send_request

_ID = b'request-id: '


@attrs.define(kw_only=True)
class CopyingTarget:
    """Target that sends a copy of each answer right before the next one.

    ``names_answers`` and ``names_copies`` tell whether they carry the id of
    their request. With ``refuses_first`` the first request is refused.
    """

    names_answers: bool
    names_copies: bool
    refuses_first: bool = False
    conns: int = 0
    runs: list[bytes] = attrs.field(factory=list)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.conns += 1
        copy = b''
        is_refused = self.refuses_first and self.conns == 1
        while True:
            head = (await reader.readuntil(b'\r\n\r\n')).lower()
            request_id = head.split(_ID, 1)[1].split(b'\r\n', 1)[0]
            named = b'Request-Id: %b\r\n' % request_id
            render = _render_refusal if is_refused else _render
            answer = render(named, b'of %b' % request_id)
            plain = render(b'', b'of %b' % request_id)
            if not is_refused:
                self.runs.append(request_id)
            is_refused = False
            writer.write(copy)
            writer.write(answer if self.names_answers else plain)
            await writer.drain()
            copy = answer if self.names_copies else plain


def _render(name: bytes, body: bytes) -> bytes:
    head = b'HTTP/1.1 200 OK\r\n%bAnswer-Proof: p\r\nContent-Length: %d\r\n\r\n'
    return head % (name, len(body)) + body


def _render_refusal(name: bytes, body: bytes) -> bytes:
    head = b'HTTP/1.1 503 Full\r\n%bNot-Run: 1\r\nContent-Length: %d\r\n\r\n'
    return head % (name, len(body)) + body


@asynccontextmanager
async def open_copying(target: CopyingTarget) -> AsyncIterator[Vm]:
    async with open_vm() as vm, replace_target(vm, target.serve):
        yield vm


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


@pytest.mark.parametrize('names_copies', [True, False])
@pytest.mark.parametrize('names_answers', [True, False])
async def test_late_copy_of_a_refusal_never_refuses_the_next_request(
    names_answers: bool, names_copies: bool
) -> None:
    """It says "not run" of a request that the target is running."""
    target = CopyingTarget(
        names_answers=names_answers,
        names_copies=names_copies,
        refuses_first=True,
    )
    async with open_copying(target) as vm:
        responses = [
            await send_request(
                vm, render(method='POST', request_id=f'r-{number}')
            )
            for number in range(4)
        ]
    assert [one.status for one in responses] == [503, 200, 200, 200]
    assert target.runs == [b'r-1', b'r-2', b'r-3']
