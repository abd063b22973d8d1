"""Send requests over one connection and read whole answers."""

import asyncio
from collections.abc import Callable
from typing import Any

import attrs
import httptools

from goldcrestwharf.http1._messages import Headers, Response

_FINAL_STATUS = 200
_BODILESS = frozenset((204, 304))


@attrs.define(kw_only=True)
class ExchangeError(Exception):
    """Report that no whole answer came.

    ``has_answer_begun`` tells whether bytes of an answer had arrived.
    """

    reason: str
    has_answer_begun: bool = False


@attrs.define(kw_only=True, eq=False)
class _Incoming:
    """Hold what has arrived of one answer."""

    headers: Headers = attrs.field(factory=list)
    chunks: list[bytes] = attrs.field(factory=list)
    has_length: bool = False
    is_head_complete: bool = False
    status: int = 0

    @property
    def ends_with_connection(self) -> bool:
        """Tell whether the answer has no length of its own."""
        if not self.is_head_complete or self.has_length:
            return False
        return self.status >= _FINAL_STATUS and self.status not in _BODILESS


class _ResponseReader:
    """Receive what the parser finds."""

    def __init__(
        self,
        *,
        deliver: Callable[[Response], None],
        note_begin: Callable[[], None],
    ) -> None:
        self.incoming = _Incoming()
        self._deliver = deliver
        self._note_begin = note_begin
        self._parser = httptools.HttpResponseParser(self)

    def feed(self, chunk: bytes) -> None:
        self._parser.feed_data(chunk)

    def on_message_begin(self) -> None:
        self.incoming = _Incoming()
        self._note_begin()

    def on_header(self, name: bytes, found: bytes) -> None:
        self.incoming.headers.append((name, found))
        if name.lower() in {b'content-length', b'transfer-encoding'}:
            self.incoming.has_length = True

    def on_headers_complete(self) -> None:
        self.incoming.is_head_complete = True
        self.incoming.status = self._parser.get_status_code()

    def on_body(self, chunk: bytes) -> None:
        self.incoming.chunks.append(chunk)

    def on_message_complete(self) -> None:
        self.finish(can_reuse=self._parser.should_keep_alive())

    def finish(self, *, can_reuse: bool) -> None:
        """Deliver the answer unless it is an interim one."""
        incoming = self.incoming
        self.incoming = _Incoming()
        if incoming.status >= _FINAL_STATUS:
            self._deliver(
                Response(
                    status=incoming.status,
                    headers=incoming.headers,
                    body=b''.join(incoming.chunks),
                    can_reuse=can_reuse,
                ),
            )


#: Tells whether an answer belongs to the request that waits.
Matcher = Callable[[Response], bool]


class ClientConn(asyncio.Protocol):
    """Carry one request at a time; unusable after any irregularity.

    ``is_usable`` turns false when the peer closes, when bytes arrive that
    nobody asked for, and after an answer that ends the connection.
    """

    def __init__(self) -> None:
        """Wait for the transport."""
        self.is_usable = False
        self._transport: Any = None
        self._reader = _ResponseReader(
            deliver=self._deliver,
            note_begin=self._note_begin,
        )
        self._waiting: asyncio.Future[Response] | None = None
        self._matches: Matcher | None = None
        self._has_answer_begun = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Become usable."""
        self._transport = transport
        self.is_usable = True

    def data_received(self, data: bytes) -> None:
        """Take in bytes of an answer."""
        if self._waiting is None:
            self.close()
            return
        self._has_answer_begun = True
        try:
            self._reader.feed(data)
        except httptools.HttpParserError as exc:
            self._fail(f'malformed answer: {exc}')

    def eof_received(self) -> bool:
        """Complete an answer that ends with its connection."""
        if self._waiting and self._reader.incoming.ends_with_connection:
            self._reader.finish(can_reuse=False)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Report an answer that isn't whole."""
        self._fail(f'connection ended: {exc!r}')

    async def exchange(
        self,
        message: bytes,
        *,
        matches: Matcher | None = None,
    ) -> Response:
        """Write a request and return its whole answer.

        An answer that ``matches`` turns down belongs to another request and
        is dropped. Raises :class:`ExchangeError`; the request may have run
        then. The connection is closed if the wait is cancelled.
        """
        if self._transport.is_closing():
            raise ExchangeError(
                reason='the connection had ended before',
                has_answer_begun=False,
            )
        self._waiting = asyncio.get_running_loop().create_future()
        self._matches = matches
        self._has_answer_begun = False
        self._transport.write(message)
        try:
            return await self._waiting
        except asyncio.CancelledError:
            self.close()
            raise
        finally:
            self._waiting = None

    def close(self) -> None:
        """Close at once; what was not yet sent is dropped."""
        self.is_usable = False
        self._transport.abort()

    def _note_begin(self) -> None:
        # Bytes behind a whole answer belong to no request.
        if self._waiting is not None and self._waiting.done():
            self.is_usable = False

    def _deliver(self, response: Response) -> None:
        waiting = self._waiting
        if waiting is None or waiting.done():
            self.is_usable = False
            return
        if self._matches is not None and not self._matches(response):
            # More may follow where it came from.
            self.is_usable = False
            return
        if not response.can_reuse:
            self.is_usable = False
        waiting.set_result(response)

    def _fail(self, reason: str) -> None:
        waiting = self._waiting
        self.is_usable = False
        if waiting is not None and not waiting.done():
            waiting.set_exception(
                ExchangeError(
                    reason=reason,
                    has_answer_begun=self._has_answer_begun,
                ),
            )
        self._transport.abort()


async def connect(address: str, *, timeout: float) -> ClientConn:
    """Open a connection to ``host:port`` within ``timeout`` seconds.

    Raises :class:`OSError`, of which a time-out is one kind.
    """
    host, _, port = address.rpartition(':')
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(timeout):
        _, conn = await loop.create_connection(ClientConn, host, int(port))
    return conn
