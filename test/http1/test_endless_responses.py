"""Test that a response takes bounded memory, whatever bytes are received."""

import asyncio
import itertools
import tracemalloc
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import pytest

from goldcrestwharf.http1 import ExchangeError, Response
from test.http1.helper import run_pending_tasks
from test.http1.test_client_conn import COMPLETE, OTHER, TargetConnHarness

_MB = 1_000_000
_OK = b'HTTP/1.1 200 OK\r\nId: a\r\n'
_CHUNKED = b'%bTransfer-Encoding: chunked\r\n\r\n' % _OK

#: Larger than any response that is accepted.
_ENDLESS_BYTES = 12 * _MB


MemoryProbe = Callable[[], tuple[int, int]]


@contextmanager
def trace_memory() -> Iterator[MemoryProbe]:
    """Yield a function that returns the bytes in use and their peak."""
    tracemalloc.start()
    try:
        yield tracemalloc.get_traced_memory
    finally:
        tracemalloc.stop()


async def receive_endless(
    target: TargetConnHarness, start: bytes, endless: bytes
) -> None:
    chunk = endless * (65_536 // len(endless))
    chunks = itertools.repeat(chunk, _ENDLESS_BYTES // len(chunk))
    with pytest.raises(ExchangeError, match='too large'):
        await target.exchange(*filter(None, (start, *chunks)), until_end=True)


@pytest.mark.parametrize(
    ('start', 'endless', 'max_bytes'),
    [
        (_OK, b'a:\r\n', _MB / 2),
        (b'%bX: ' % _OK, b'x' * 1000, _MB),
        (b'', b'HTTP/1.1 103 Early Hints\r\n\r\n', _MB),
        (b'', b'HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n', _MB),
        (_CHUNKED, b'2\r\nab\r\n', 6 * _MB),
        (_CHUNKED, b'10\r\n0123456789abcdef\r\n', 11 * _MB),
        (b'%b4;' % _CHUNKED, b'x' * 1000, _MB),
        (b'%b2\r\nab\r\n0\r\n' % _CHUNKED, b'a:\r\n', _MB),
        (b'%b\r\n' % _OK, b'x' * 1000, 11 * _MB),
        (b'', OTHER, _MB),
    ],
)
async def test_endless_response_never_takes_many_times_its_bytes(
    start: bytes, endless: bytes, max_bytes: float
) -> None:
    target = TargetConnHarness()
    with trace_memory() as find_memory:
        await receive_endless(target, start, endless)
        assert find_memory()[1] < max_bytes


async def test_failed_response_releases_its_memory_at_once() -> None:
    target = TargetConnHarness()
    with trace_memory() as find_memory:
        await receive_endless(target, b'%b\r\n' % _OK, b'x' * 1000)
        assert find_memory()[0] < _MB


async def test_one_read_of_many_responses_stops_at_the_limit() -> None:
    target = TargetConnHarness()
    seen: list[Response] = []
    target.matches = lambda found: bool(seen.append(found))
    with pytest.raises(ExchangeError, match='too large'):
        await target.exchange(OTHER * 50_000)
    assert len(seen) <= 64


async def test_announced_length_above_the_limit_is_refused_with_the_head() -> (
    None
):
    target = TargetConnHarness()
    with pytest.raises(ExchangeError, match='too large'):
        await target.exchange(
            b'%bContent-Length: 4194305\r\n\r\n' % _OK, until_end=True
        )


async def test_response_without_a_body_may_announce_any_length() -> None:
    response = await TargetConnHarness().exchange(
        b'HTTP/1.1 304 Not Modified\r\nId: a\r\nContent-Length: 5000000\r\n\r\n'
    )
    assert response.status == 304


async def test_switch_of_protocols_is_an_error() -> None:
    with pytest.raises(ExchangeError, match='malformed'):
        await TargetConnHarness().exchange(
            b'HTTP/1.1 101 Switching Protocols\r\n'
            b'Connection: upgrade\r\nUpgrade: other\r\n\r\nother'
        )


async def test_trailers_are_discarded() -> None:
    response = await TargetConnHarness().exchange(
        b'%b2\r\nab\r\n0\r\nId: b\r\nX-Check: c\r\n\r\n' % _CHUNKED
    )
    assert response.body == b'ab'
    assert [name for name, _ in response.headers] == [
        b'Id',
        b'Transfer-Encoding',
    ]


@pytest.mark.parametrize(
    ('whole', 'body'),
    [
        (
            b'HTTP/1.1 102 Processing\r\n\r\n' * 60 + COMPLETE,
            b'abc',
        ),
        (
            b'%b%bContent-Length: 1\r\n\r\na'
            % (_OK, b'X-Part: value\r\n' * 200),
            b'a',
        ),
        (
            b'%b%b0\r\nX-Check: c\r\n\r\n' % (_CHUNKED, b'1\r\na\r\n' * 50_000),
            b'a' * 50_000,
        ),
        (
            b'%b%b0\r\n\r\n' % (_CHUNKED, b'1\r\na\r\n' * 400_000),
            b'a' * 400_000,
        ),
        (
            b'%b%b0\r\n\r\n'
            % (_CHUNKED, b'10000\r\n%b\r\n' % (b'x' * 65_536) * 64),
            b'x' * 4_194_304,
        ),
    ],
)
async def test_sound_response_within_the_limits_is_delivered(
    whole: bytes, body: bytes
) -> None:
    response = await TargetConnHarness().exchange(whole)
    assert response.body == body


async def test_large_response_leaves_its_connection_usable() -> None:
    """The next request would have to open another one."""
    target = TargetConnHarness()
    body = b'x' * 200_000
    response = await target.exchange(
        b'%bContent-Length: %d\r\n\r\n%b' % (_OK, len(body), body)
    )
    assert response.body == body
    assert not target.transport.is_aborted
    assert (await target.exchange(COMPLETE)).body == b'abc'


async def test_small_chunks_are_read_in_small_pieces() -> None:
    """Parsing them doesn't delay the requests of others for long."""
    target = TargetConnHarness()
    task = asyncio.create_task(target.exchange())
    await run_pending_tasks()
    sizes = [len(target.conn.get_buffer(-1))]
    large = b'ffff\r\n%b' % (b'x' * 65_535)
    for piece in (_CHUNKED, b'1\r\na\r\n' * 5000, large):
        target.conn.data_received(piece)
        sizes.append(len(target.conn.get_buffer(-1)))
    target.conn.close()
    target.conn.connection_lost(None)
    with pytest.raises(ExchangeError):
        await task
    assert sizes == [4096, 4096, 4096, 65_536]
