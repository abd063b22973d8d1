"""Check a stream between two daemons, by itself."""

import socket
import tracemalloc

from goldcrestwharf.proxy._peer_messages import Ping
from goldcrestwharf.proxy._stream import MessageStream
from test.http1.helper import FakeTransport

#: Streams of a daemon among 81, one each way to each other one.
STREAMS = 160

#: Bytes that they may take together: a daemon without streams has 25 MB, and
#: the aim is 45 MB where the limit is 128 MB.
MOST_BYTES = 20_000_000


class SocketTransport(FakeTransport):
    """Have a socket whose options can be set."""

    def __init__(self) -> None:
        super().__init__()
        self.socket = socket.socket()

    def get_extra_info(self, name: str, default: object = None) -> object:
        return self.socket if name == 'socket' else default


def make_stream() -> MessageStream:
    return MessageStream(
        receive=lambda stream, message: None,
        note_end=lambda stream: None,
    )


async def test_stream_closed_before_it_is_connected_is_given_up() -> None:
    """A daemon stops while another's connection is being accepted."""
    stream = make_stream()
    stream.close()
    transport = SocketTransport()
    stream.connection_made(transport)
    stream.send(Ping(number=1))
    assert transport.is_aborted
    assert not (stream.is_open or transport.written)
    transport.socket.close()


async def test_stream_sends_once_it_is_connected() -> None:
    stream = make_stream()
    transport = SocketTransport()
    stream.send(Ping(number=1))
    stream.connection_made(transport)
    assert not transport.written
    stream.send(Ping(number=1))
    assert transport.written
    transport.socket.close()


async def test_streams_of_a_large_mesh_take_little_memory() -> None:
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    streams = [make_stream() for _ in range(STREAMS)]
    taken = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    assert len(streams) == STREAMS
    assert taken < MOST_BYTES
