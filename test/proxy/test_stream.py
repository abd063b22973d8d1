"""Check a stream between two daemons, by itself."""

import socket

from goldcrestwharf.proxy._peer_messages import Ping
from goldcrestwharf.proxy._stream import MessageStream
from test.http1.helper import FakeTransport


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
