"""Check which bytes of a target are accepted as a response."""

import asyncio
from collections.abc import Callable

import pytest

from goldcrestwharf.http1 import (
    ClientConn,
    ExchangeError,
    Response,
    render_end_to_end,
)
from test.http1.helper import FakeTransport, run_pending_tasks

COMPLETE = b'HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 3\r\n\r\nabc'
OTHER = b'HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 3\r\n\r\nxyz'
CHUNKED = (
    b'HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n'
    b'2\r\nab\r\n1\r\nc\r\n0\r\n\r\n'
)
UNFRAMED_HEAD = b'HTTP/1.1 200 OK\r\nId: a\r\n\r\n'
UNFRAMED = b'%babc' % UNFRAMED_HEAD


Matcher = Callable[[Response], bool]


class TargetConnHarness:
    """A client connection whose received bytes are set by the test."""

    def __init__(self) -> None:
        self.conn = ClientConn()
        self.transport = FakeTransport()
        self.matches: Matcher = lambda found: found.find(b'id') == b'a'
        self.conn.connection_made(self.transport)

    async def exchange(
        self, *chunks: bytes, until_end: bool = False
    ) -> Response:
        task = asyncio.create_task(
            self.conn.exchange(
                b'GET / HTTP/1.1\r\n\r\n',
                matches=self.matches,
            ),
        )
        await run_pending_tasks()
        for chunk in chunks:
            self.conn.data_received(chunk)
            await run_pending_tasks()
            if until_end and task.done():
                break
        if until_end and not task.done():
            task.cancel()
        return await task


@pytest.mark.parametrize('size', [1, 5, 1000])
async def test_complete_response_keeps_the_connection(size: int) -> None:
    target = TargetConnHarness()
    pieces = [COMPLETE[at : at + size] for at in range(0, len(COMPLETE), size)]
    response = await target.exchange(*pieces)
    assert response.body == b'abc'
    assert response.can_reuse
    assert target.conn.is_usable


async def test_length_of_a_response_may_have_leading_zeros() -> None:
    """Guards against the limit on the digits of ``int``."""
    target = TargetConnHarness()
    zeros = b'0' * 5_000
    response = await target.exchange(
        COMPLETE.replace(b'Length: 3', b'Length: %b3' % zeros)
    )
    assert response.body == b'abc'
    assert target.conn.is_usable


async def test_interim_response_is_skipped() -> None:
    response = await TargetConnHarness().exchange(
        b'HTTP/1.1 102 Processing\r\n\r\n', COMPLETE
    )
    assert response.body == b'abc'


@pytest.mark.parametrize(
    'chunks',
    [
        (b'%b%b' % (COMPLETE, OTHER),),
        (b'%bHTTP/1.1 2' % COMPLETE,),
        (b'%bgarbage' % COMPLETE,),
    ],
)
async def test_bytes_after_a_response_make_the_connection_unusable(
    chunks: tuple[bytes, ...],
) -> None:
    target = TargetConnHarness()
    response = await target.exchange(*chunks)
    assert response.body == b'abc'
    assert not target.conn.is_usable


async def test_late_response_to_another_request_is_discarded() -> None:
    target = TargetConnHarness()
    response = await target.exchange(OTHER, COMPLETE)
    assert response.body == b'abc'
    assert not target.conn.is_usable


async def test_bytes_without_a_request_close_the_connection() -> None:
    target = TargetConnHarness()
    target.conn.data_received(OTHER)
    assert target.transport.is_aborted
    assert not target.conn.is_usable


async def test_response_with_connection_close_prevents_reuse() -> None:
    target = TargetConnHarness()
    closing = COMPLETE.replace(b'Id', b'Connection: close\r\nId')
    response = await target.exchange(closing)
    assert not response.can_reuse
    assert not target.conn.is_usable


async def end_connection(
    target: TargetConnHarness, chunk: bytes, *, is_reset: bool
) -> Response:
    task = asyncio.create_task(target.exchange(*filter(None, (chunk,))))
    await run_pending_tasks(20)
    if is_reset:
        target.conn.connection_lost(ConnectionResetError('reset'))
    else:
        target.conn.eof_received()
        target.conn.connection_lost(None)
    return await task


async def test_response_without_length_is_complete_at_eof() -> None:
    target = TargetConnHarness()
    response = await end_connection(target, UNFRAMED, is_reset=False)
    assert response.body == b'abc'
    assert not target.conn.is_usable


@pytest.mark.parametrize(
    ('chunk', 'is_reset'),
    [
        (UNFRAMED, True),
        (COMPLETE[:-1], False),
        (COMPLETE[:-1], True),
        (COMPLETE[:20], False),
        (b'', False),
        (b'', True),
    ],
)
async def test_truncated_response_is_an_error(
    chunk: bytes,
    is_reset: bool,
) -> None:
    target = TargetConnHarness()
    with pytest.raises(ExchangeError) as caught:
        await end_connection(target, chunk, is_reset=is_reset)
    assert caught.value.has_answer_begun == bool(chunk)
    assert not target.conn.is_usable


@pytest.mark.parametrize(
    ('whole', 'is_reset', 'longest'),
    [
        (COMPLETE, True, len(COMPLETE) - 1),
        (COMPLETE, False, len(COMPLETE) - 1),
        (CHUNKED, True, len(CHUNKED) - 1),
        (CHUNKED, False, len(CHUNKED) - 1),
        (UNFRAMED, True, len(UNFRAMED)),
        # After the head, only a reset tells that the body is incomplete.
        (UNFRAMED, False, len(UNFRAMED_HEAD) - 1),
    ],
)
async def test_response_cut_at_any_byte_never_counts_as_whole(
    whole: bytes, is_reset: bool, longest: int
) -> None:
    for size in range(longest + 1):
        target = TargetConnHarness()
        with pytest.raises(ExchangeError):
            await end_connection(target, whole[:size], is_reset=is_reset)
        assert not target.conn.is_usable


async def test_malformed_response_is_an_error() -> None:
    with pytest.raises(ExchangeError, match='malformed'):
        await TargetConnHarness().exchange(
            b'\x00\x01\x02 nothing of the kind\r\n\r\n'
        )


@pytest.mark.parametrize(
    ('start', 'endless'),
    [
        (b'HTTP/1.1 200 OK\r\n', b'X-More: and more\r\n'),
        (b'HTTP/1.1 200 OK\r\nX: ', b'x' * 100),
        (b'', b'HTTP/1.1 102 Processing\r\n\r\n'),
        (b'HTTP/1.1 200 OK\r\nId: a\r\n\r\n', b'x' * 1000),
        (
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n',
            b'10\r\n0123456789abcdef\r\n',
        ),
        (b'HTTP/1.1 200 OK\r\nContent-Length: 999999999\r\n\r\n', b'x' * 1000),
        (b'', OTHER),
    ],
)
async def test_endless_response_is_an_error_and_closes_the_connection(
    start: bytes, endless: bytes
) -> None:
    target = TargetConnHarness()
    # Three times the largest response that is accepted.
    chunk = endless * (65_536 // len(endless))
    chunks = [start, *(chunk for _ in range(200))]
    with pytest.raises(ExchangeError, match='too large'):
        await target.exchange(*filter(None, chunks), until_end=True)
    assert target.transport.is_aborted
    assert not target.conn.is_usable


async def test_large_response_within_the_limit_is_delivered() -> None:
    body = b'x' * 4_000_000
    head = b'HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 4000000\r\n\r\n'
    response = await TargetConnHarness().exchange(head, body[:9], body[9:])
    assert response.body == body


async def test_cancelled_exchange_closes_the_connection() -> None:
    target = TargetConnHarness()
    task = asyncio.create_task(target.conn.exchange(b'GET / HTTP/1.1\r\n\r\n'))
    await run_pending_tasks()
    task.cancel()
    await run_pending_tasks()
    assert target.transport.is_aborted
    assert not target.conn.is_usable


def test_hop_by_hop_headers_are_not_forwarded() -> None:
    passed = render_end_to_end(
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


async def test_request_on_a_closed_connection_fails_at_once() -> None:
    target = TargetConnHarness()
    target.transport.abort()
    with pytest.raises(ExchangeError):
        await target.exchange()
    assert target.transport.written == b''


@pytest.mark.parametrize('status', [b'000', b'001', b'099', b'600', b'999'])
async def test_status_that_http_does_not_have_is_an_error(
    status: bytes,
) -> None:
    """It would reach the caller as an answer, or be waited for in vain."""
    target = TargetConnHarness()
    with pytest.raises(ExchangeError, match='malformed response: status'):
        await target.exchange(COMPLETE.replace(b'200', status), until_end=True)
    assert target.transport.is_aborted


@pytest.mark.parametrize('status', [b'200', b'299', b'418', b'599'])
async def test_unusual_status_of_http_is_delivered(status: bytes) -> None:
    target = TargetConnHarness()
    response = await target.exchange(COMPLETE.replace(b'200', status))
    assert response.status == int(status)
