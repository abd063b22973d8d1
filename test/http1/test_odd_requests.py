"""Odd requests of legal size are served, and those without end are rejected."""

import array
import contextlib
import fcntl
import gc
import socket
import termios
from itertools import repeat

import pytest

from goldcrestwharf.http1 import Answer, CallerLimits, HttpListener, Request
from test.helper import LOOPBACK
from test.http1.helper import run_pending_tasks
from test.http1.test_caller_conn import (
    GET,
    POST_CHUNKS,
    CallerConnHarness,
    find_statuses,
)

LIMITS = CallerLimits(max_head_bytes=16_384, max_body_bytes=100_000)
SHORT_LINE = b'a:\r\n'

#: As many short lines as fit into the limit beside a request line.
LINES = (LIMITS.max_head_bytes - len(POST_CHUNKS)) // len(SHORT_LINE)

#: Requests up to a header, and up to a trailer.
STARTS = (b'GET / HTTP/1.1\r\n', b'%b0\r\n' % POST_CHUNKS)


async def test_head_of_short_lines_within_the_limit_is_served() -> None:
    harness = CallerConnHarness(LIMITS)
    await harness.feed(
        b'GET / HTTP/1.1\r\n%b\r\n' % (SHORT_LINE * LINES),
    )
    assert find_statuses(harness.transport.written) == [200]
    assert len(harness.requests[0].headers) == LINES


async def test_short_trailers_within_the_limit_are_served() -> None:
    harness = CallerConnHarness(LIMITS)
    await harness.feed(
        b'%b1\r\na\r\n0\r\n%b\r\n' % (POST_CHUNKS, SHORT_LINE * LINES),
    )
    assert find_statuses(harness.transport.written) == [200]


@pytest.mark.parametrize('start', STARTS, ids=['head', 'trailers'])
async def test_short_lines_over_the_limit_are_rejected(start: bytes) -> None:
    """Each takes thirty times its bytes in memory."""
    harness = CallerConnHarness(LIMITS)
    await harness.feed(start, SHORT_LINE * (LINES + len(POST_CHUNKS)))
    assert find_statuses(harness.transport.written) == [431]


@pytest.mark.parametrize('start', STARTS, ids=['head', 'trailers'])
async def test_white_space_over_the_limit_is_rejected(start: bytes) -> None:
    """The parser doesn't report it, so that it would never end."""
    harness = CallerConnHarness(LIMITS)
    line = b'a:%bb\r\n' % bytes(500).replace(b'\0', b' ')
    await harness.feed(start, *repeat(line * 8, 10))
    assert find_statuses(harness.transport.written) == [431]


async def test_body_in_chunks_of_one_byte_is_served() -> None:
    harness = CallerConnHarness(LIMITS)
    harness.conn.data_received(POST_CHUNKS)
    harness.conn.data_received(b'1\r\na\r\n' * LIMITS.max_body_bytes)
    harness.conn.data_received(b'0\r\n\r\n')
    while not harness.transport.written:
        await run_pending_tasks()
    assert harness.requests[0].body == b'a' * LIMITS.max_body_bytes
    assert find_statuses(harness.transport.written) == [200]


async def test_length_with_leading_zeros_within_the_limit_is_served() -> None:
    """Guards against the limit on the digits of ``int``."""
    harness = CallerConnHarness(LIMITS)
    length = b'0' * 10_000
    await harness.feed(b'POST / HTTP/1.1\r\nContent-Length: ', length)
    await harness.feed(b'2\r\n\r\nab')
    assert find_statuses(harness.transport.written) == [200]
    assert harness.requests[0].body == b'ab'


@pytest.mark.parametrize('empty', [b'\r\n', b'\r\n\r\n'], ids=len)
async def test_empty_lines_before_a_request_are_ignored(empty: bytes) -> None:
    harness = CallerConnHarness(LIMITS)
    await harness.feed(empty, GET, empty + GET)
    assert find_statuses(harness.transport.written) == [200, 200]


async def test_empty_lines_without_end_are_rejected() -> None:
    """Such a connection would stay open for as long as they come."""
    harness = CallerConnHarness(LIMITS)
    await harness.feed(*repeat(b'\r\n' * 1000, 20))
    assert find_statuses(harness.transport.written) == [400]
    harness.assert_closes()


async def test_few_requests_are_parsed_before_they_can_be_served() -> None:
    """A short request takes fifty times its bytes once it is parsed."""
    gc.collect()
    before = count_requests()
    harness = CallerConnHarness(LIMITS)
    harness.gate.clear()
    await harness.feed(b'GET / HTTP/1.1\r\n\r\n' * 5000)
    assert count_requests() - before < 100
    harness.gate.set()
    while len(harness.requests) < 5000:
        await run_pending_tasks()
    assert set(find_statuses(harness.transport.written)) == {200}


def count_requests() -> int:
    return sum(isinstance(found, Request) for found in gc.get_objects())


#: Connections that are always ready, and the most bytes of them all that may be
#: read in one turn of the event loop.
CONNS = 40
MAX_TURN_BYTES = 262_144


async def test_connections_that_are_always_ready_leave_room_for_others() -> (
    None
):
    """Nothing else runs while a turn of the event loop takes seconds."""
    listener = HttpListener(handler=answer, limits=lambda: LIMITS)
    host, port = (await listener.listen(LOOPBACK)).split(':')
    with contextlib.ExitStack() as stack:
        stack.callback(listener.close)
        for _ in range(CONNS):
            conn = stack.enter_context(socket.socket())
            conn.connect((host, int(port)))
            conn.setblocking(False)
            conn.send(b'%b%b' % (POST_CHUNKS, b'1\r\na\r\n' * 50_000))
        while len(listener.serving.conns) < CONNS:
            await run_pending_tasks(1)
        before = count_unread(listener)
        while before:
            await run_pending_tasks(1)
            after = count_unread(listener)
            assert before - after <= MAX_TURN_BYTES
            before = after


def count_unread(listener: HttpListener) -> int:
    """Return the bytes that wait in the kernel for the listener."""
    unread = array.array('i', [0])
    total = 0
    for conn in listener.serving.conns:
        descriptor = conn.transport.get_extra_info('socket').fileno()
        fcntl.ioctl(descriptor, termios.FIONREAD, unread)
        total += unread[0]
    return total


async def answer(req: Request) -> Answer:
    return Answer(status=200)
