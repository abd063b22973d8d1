"""Test a single stream between two daemons."""

import asyncio
import socket
import tracemalloc

from goldcrestwharf.proxy._body_messages import BodyPiece
from goldcrestwharf.proxy._peer_messages import Ping
from goldcrestwharf.proxy._stream import MessageStream
from test.http1.helper import FakeTransport

#: Streams of a daemon in a mesh of 81: one in each direction per peer.
STREAMS = 160

#: Maximum total size of these streams. A daemon without streams takes 25 MB;
#: the aim is 45 MB with a limit of 128 MB.
MAX_BYTES = 20_000_000


class SocketTransport(FakeTransport):
    """Transport with a socket whose options can be set."""

    def __init__(self) -> None:
        super().__init__()
        self.socket = socket.socket()

    def get_extra_info(self, name: str, default: object = None) -> object:
        return self.socket if name == 'socket' else default


def make_stream() -> MessageStream:
    return MessageStream(
        receive=lambda stream, message: None,
        handle_end=lambda stream: None,
    )


async def test_stream_closed_before_it_is_connected_is_aborted() -> None:
    """A daemon shuts down while a connection is being accepted."""
    stream = make_stream()
    stream.close()
    transport = SocketTransport()
    stream.connection_made(transport)
    stream.send(Ping(number=1))
    assert transport.is_aborted
    assert not (stream.is_open or transport.written)
    transport.socket.close()


async def test_stream_sends_only_after_it_is_connected() -> None:
    stream = make_stream()
    transport = SocketTransport()
    stream.send(Ping(number=1))
    stream.connection_made(transport)
    assert not transport.written
    stream.send(Ping(number=1))
    assert transport.written
    transport.socket.close()


async def test_bytes_that_the_other_end_does_not_read_count_as_unsent() -> None:
    """Bodies wait while the kernel holds a window of them for any reason."""
    listener = socket.create_server(('127.0.0.1', 0))
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    host, port = listener.getsockname()
    _, stream = await asyncio.get_running_loop().create_connection(
        make_stream, host, port
    )
    assert not stream.count_unsent()
    piece = BodyPiece(number=1, offset=0, chunk=bytes(4_000_000))
    stream.send(piece)
    assert stream.count_unsent() > 1_000_000
    stream.close()
    assert not stream.count_unsent()
    listener.close()


async def test_streams_of_a_large_mesh_stay_within_the_memory_limit() -> None:
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    streams = [make_stream() for _ in range(STREAMS)]
    taken = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    assert len(streams) == STREAMS
    assert taken < MAX_BYTES
