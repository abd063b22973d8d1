"""Test against targets that stop in the middle of an answer and close."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import attrs
import pytest

from test.policy.helper import make_route, make_snapshot
from test.proxy.helper import (
    Vm,
    link_to_remote,
    open_vms,
    render,
    replace_target,
    send_request,
)

_END = b'\r\n\r\n'

INTERIM = b'HTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\n\r\n'
HEAD = b'HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nAnswer-Proof: p\r\n'
SIZED = b'%bContent-Length: 4\r\n\r\ndone' % HEAD
CHUNKED = b'%bTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n' % HEAD
# Without a length, an answer that ends after its head is complete.
UNFRAMED_HEAD = b'%b\r\n' % HEAD


@attrs.define(kw_only=True)
class CuttingTarget:
    """Target that sends ``answer`` and closes the connection."""

    answer: bytes = b''

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(_END)
        writer.write(self.answer)
        await writer.drain()


@asynccontextmanager
async def open_cutting(
    target: CuttingTarget, *, is_remote: bool
) -> AsyncIterator[Vm]:
    """Yield the daemon that takes the requests."""
    snapshot = make_snapshot(1, make_route(is_repeatable=False, timeout=2))
    async with open_vms(2, snapshot) as vms:
        entry, owner = await link_to_remote(vms) if is_remote else vms[:1] * 2
        async with replace_target(owner, target.serve):
            yield entry


@pytest.mark.parametrize('is_remote', [False, True])
@pytest.mark.parametrize(
    'whole',
    [SIZED, CHUNKED, UNFRAMED_HEAD, b'%b%b' % (INTERIM, SIZED)],
    ids=('sized', 'chunked', 'unframed', 'interim'),
)
async def test_answer_cut_at_any_byte_never_reaches_a_caller_as_whole(
    whole: bytes, *, is_remote: bool
) -> None:
    """A head that ends early has no length, which a whole one may lack too."""
    target = CuttingTarget()
    async with open_cutting(target, is_remote=is_remote) as entry:
        while whole:
            whole = whole[:-1]
            target.answer = whole
            response = await send_request(
                entry, render(method='POST', path=f'/menu/{len(whole)}')
            )
            assert response.status == 502
            assert not response.body
