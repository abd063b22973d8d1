"""Message stream between two daemons over one connection."""

import array
import asyncio
import fcntl
import socket
import termios
from collections.abc import Callable
from typing import Any

import msgpack

from goldcrestwharf.loglines import EventLog
from goldcrestwharf.proxy._codec import pack
from goldcrestwharf.proxy._decoder import MessageDecoder

_log = EventLog(__name__)

#: Longest text about a malformed message in the log.
_MAX_ERROR_CHARS = 200

#: Milliseconds after which the kernel closes a connection with unacknowledged
#: bytes, so that a peer without power doesn't keep the stream open.
_TCP_USER_TIMEOUT_MS = 4000


class MessageStream(asyncio.Protocol):
    """Stream of messages.

    ``last_heard`` and ``last_sent`` are the monotonic times, in seconds, of
    the last bytes received and sent.
    """

    def __init__(
        self,
        *,
        receive: Callable[['MessageStream', object], None],
        handle_end: Callable[['MessageStream'], None],
        is_introduced: bool = True,
    ) -> None:
        """Pass messages to ``receive``; call ``handle_end`` once at the end.

        ``is_introduced`` says that it is known whose the other end is.
        """
        self.decoder = MessageDecoder(is_introduced=is_introduced)
        self.last_heard: float = 0
        self.last_sent: float = 0
        self.is_open = False
        self._receive = receive
        self._handle_end = handle_end
        self._transport: Any = None
        self._is_closed = False
        self._clock = asyncio.get_running_loop().time

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Become usable, unless the stream was closed before."""
        self._transport = transport
        if self._is_closed:
            self._transport.abort()
            return
        self.is_open = True
        self.last_heard = self._clock()
        self.last_sent = self.last_heard
        conn = transport.get_extra_info('socket')
        conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        conn.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            _TCP_USER_TIMEOUT_MS,
        )

    def data_received(self, data: bytes) -> None:
        """Decode received bytes."""
        self.last_heard = self._clock()
        try:
            for message in self.decoder.decode(data):
                self._receive(self, message)
        except (ValueError, TypeError, msgpack.UnpackException) as exc:
            error = str(exc)[:_MAX_ERROR_CHARS]
            _log.warning('peer.malformed_message', error=error)
            self.close()
        except Exception:
            # A defect in the handling of one message ends its stream alone.
            _log.exception('peer.message_failed')
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the stream."""
        self.is_open = False
        self._handle_end(self)

    def send(self, message: object) -> None:
        """Send a message; it is dropped once the stream has ended."""
        if self.is_open:
            self.last_sent = self._clock()
            self._transport.write(pack(message))

    def count_buffered(self) -> int:
        """Return the written bytes that are in the memory of this process."""
        if not self.is_open:
            return 0
        buffered: int = self._transport.get_write_buffer_size()
        return buffered

    def count_unsent(self) -> int:
        """Return the written bytes that the other end has not received."""
        if not self.is_open:
            return 0
        unsent = array.array('i', [0])
        conn = self._transport.get_extra_info('socket')
        fcntl.ioctl(conn.fileno(), termios.TIOCOUTQ, unsent)
        return self.count_buffered() + unsent[0]

    def close(self) -> None:
        """Abort the stream, even while it is being accepted."""
        self._is_closed = True
        self.is_open = False
        if self._transport is not None:
            self._transport.abort()
