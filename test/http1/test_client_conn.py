"""Test what is taken for an answer of a target, in a table of faults."""

import asyncio

import pytest

from goldcrestwharf.http1 import (
    ClientConn,
    ExchangeError,
    Response,
    render_passed_on,
)
from test.http1.helper import FakeTransport, settle

WHOLE = b'HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 3\r\n\r\nabc'
OTHER = b'HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 3\r\n\r\nxyz'
UNFRAMED = b'HTTP/1.1 200 OK\r\nId: a\r\n\r\nabc'


class Target:
    """Answer one request by hand."""

    def __init__(self) -> None:
        self.conn = ClientConn()
        self.transport = FakeTransport()
        self.conn.connection_made(self.transport)

    async def ask(self, *chunks: bytes) -> Response:
        task = asyncio.create_task(
            self.conn.exchange(
                b'GET / HTTP/1.1\r\n\r\n',
                matches=lambda found: found.find(b'id') == b'a',
            ),
        )
        await settle()
        for chunk in chunks:
            self.conn.data_received(chunk)
            await settle()
        return await task


@pytest.mark.parametrize('size', [1, 5, 1000])
async def test_whole_answer_keeps_the_connection(size: int) -> None:
    target = Target()
    pieces = [WHOLE[at : at + size] for at in range(0, len(WHOLE), size)]
    response = await target.ask(*pieces)
    assert response.body == b'abc'
    assert response.can_reuse
    assert target.conn.is_usable


async def test_interim_answer_is_no_answer() -> None:
    response = await Target().ask(b'HTTP/1.1 102 Processing\r\n\r\n', WHOLE)
    assert response.body == b'abc'


@pytest.mark.parametrize(
    'chunks',
    [
        (b'%b%b' % (WHOLE, OTHER),),
        (b'%bHTTP/1.1 2' % WHOLE,),
        (b'%bgarbage' % WHOLE,),
    ],
)
async def test_bytes_behind_an_answer_end_the_connection(
    chunks: tuple[bytes, ...],
) -> None:
    target = Target()
    response = await target.ask(*chunks)
    assert response.body == b'abc'
    assert not target.conn.is_usable


async def test_late_answer_to_another_request_is_dropped() -> None:
    target = Target()
    response = await target.ask(OTHER, WHOLE)
    assert response.body == b'abc'
    assert not target.conn.is_usable


async def test_bytes_without_a_request_end_the_connection() -> None:
    target = Target()
    target.conn.data_received(OTHER)
    assert target.transport.is_aborted
    assert not target.conn.is_usable


async def test_answer_that_ends_the_connection_is_not_reused() -> None:
    target = Target()
    closing = WHOLE.replace(b'Id', b'Connection: close\r\nId')
    response = await target.ask(closing)
    assert not response.can_reuse
    assert not target.conn.is_usable


async def end_with(target: Target, chunk: bytes, *, is_reset: bool) -> Response:
    task = asyncio.create_task(target.ask(*filter(None, (chunk,))))
    await settle(20)
    if is_reset:
        target.conn.connection_lost(ConnectionResetError('reset'))
    else:
        target.conn.eof_received()
        target.conn.connection_lost(None)
    return await task


async def test_answer_without_length_is_whole_once_the_target_closes() -> None:
    target = Target()
    response = await end_with(target, UNFRAMED, is_reset=False)
    assert response.body == b'abc'
    assert not target.conn.is_usable


@pytest.mark.parametrize(
    ('chunk', 'is_reset'),
    [
        (UNFRAMED, True),
        (WHOLE[:-1], False),
        (WHOLE[:-1], True),
        (WHOLE[:20], False),
        (b'', False),
        (b'', True),
    ],
)
async def test_answer_that_is_broken_off_is_no_answer(
    chunk: bytes,
    is_reset: bool,
) -> None:
    target = Target()
    with pytest.raises(ExchangeError) as caught:
        await end_with(target, chunk, is_reset=is_reset)
    assert caught.value.has_answer_begun == bool(chunk)
    assert not target.conn.is_usable


async def test_bytes_that_are_no_answer_are_reported() -> None:
    with pytest.raises(ExchangeError, match='malformed'):
        await Target().ask(b'\x00\x01\x02 nothing of the kind\r\n\r\n')


async def test_cancelled_wait_closes_the_connection() -> None:
    target = Target()
    task = asyncio.create_task(target.conn.exchange(b'GET / HTTP/1.1\r\n\r\n'))
    await settle()
    task.cancel()
    await settle()
    assert target.transport.is_aborted
    assert not target.conn.is_usable


def test_headers_of_one_connection_are_not_passed_on() -> None:
    passed = render_passed_on(
        [
            (b'Host', b'x'),
            (b'Connection', b'close, X-Hop'),
            (b'X-Hop', b'1'),
            (b'Keep-Alive', b'timeout=5'),
            (b'Transfer-Encoding', b'chunked'),
            (b'Content-Length', b'5'),
            (b'Caller', b'forged'),
            (b'X-End', b'2'),
        ],
        without=frozenset((b'caller',)),
    )
    assert passed == b'Host: x\r\nX-End: 2\r\n'


async def test_request_on_a_connection_that_has_ended_fails_at_once() -> None:
    target = Target()
    target.transport.abort()
    with pytest.raises(ExchangeError):
        await target.ask()
    assert target.transport.written == b''
