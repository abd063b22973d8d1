"""Send requests over a connection and read complete responses."""

import asyncio
from collections.abc import Callable
from typing import Any

import attrs
import httptools

from goldcrestwharf.http1._messages import Headers, Response

_FINAL_STATUS = 200
_BODYLESS = frozenset((204, 304))


#: Most bytes of a head, with the interim responses before it, and of a body.
#: A target may send bytes without end; all its slots together have to stay
#: well below the memory of a VM.
_MAX_HEAD_BYTES = 65_536
_MAX_BODY_BYTES = 4_194_304


@attrs.define(kw_only=True)
class ExchangeError(Exception):
    """Raised if no complete response was received.

    ``has_answer_begun`` is set if part of a response was received.
    """

    reason: str
    has_answer_begun: bool = False


@attrs.define(kw_only=True, eq=False)
class _PartialResponse:
    """The part of a response that has been received."""

    headers: Headers = attrs.field(factory=list)
    chunks: list[bytes] = attrs.field(factory=list)
    has_length: bool = False
    is_head_complete: bool = False
    status: int = 0

    @property
    def ends_with_connection(self) -> bool:
        """Return whether the response has no length and ends at EOF."""
        if not self.is_head_complete or self.has_length:
            return False
        return self.status >= _FINAL_STATUS and self.status not in _BODYLESS


class _ResponseReader:
    """Parser callbacks that assemble responses.

    ``received`` counts the bytes since the request was sent.
    """

    def __init__(
        self,
        *,
        deliver: Callable[[Response], None],
        on_begin: Callable[[], None],
    ) -> None:
        self.partial = _PartialResponse()
        self.received = 0
        self._deliver = deliver
        self._handle_begin = on_begin
        self._parser = httptools.HttpResponseParser(self)

    @property
    def is_too_large(self) -> bool:
        """Return whether the response has no end within the limits."""
        allowed = _MAX_HEAD_BYTES
        if self.partial.is_head_complete:
            allowed += _MAX_BODY_BYTES
        return self.received > allowed

    def feed(self, chunk: bytes) -> None:
        self.received += len(chunk)
        self._parser.feed_data(chunk)

    def on_message_begin(self) -> None:
        self.partial = _PartialResponse()
        self._handle_begin()

    def on_header(self, name: bytes, header_value: bytes) -> None:
        self.partial.headers.append((name, header_value))
        if name.lower() in {b'content-length', b'transfer-encoding'}:
            self.partial.has_length = True

    def on_headers_complete(self) -> None:
        self.partial.is_head_complete = True
        self.partial.status = self._parser.get_status_code()

    def on_body(self, chunk: bytes) -> None:
        self.partial.chunks.append(chunk)

    def on_message_complete(self) -> None:
        self.finish(can_reuse=self._parser.should_keep_alive())

    def finish(self, *, can_reuse: bool) -> None:
        """Deliver the response unless it is an interim one (1xx)."""
        partial = self.partial
        self.partial = _PartialResponse()
        if partial.status >= _FINAL_STATUS:
            self._deliver(
                Response(
                    status=partial.status,
                    headers=partial.headers,
                    body=b''.join(partial.chunks),
                    can_reuse=can_reuse,
                ),
            )


#: Returns whether a response belongs to the pending request.
Matcher = Callable[[Response], bool]


class ClientConn(asyncio.Protocol):
    """A client connection that carries one request at a time.

    ``is_usable`` becomes false when the target closes the connection, when
    unrequested bytes arrive, and after a response that ends the connection.
    ``is_new`` is true until a request is sent. ``statuses`` are those of the
    responses so far.
    """

    def __init__(self) -> None:
        """Create a connection that is usable once it has a transport."""
        self.is_usable = False
        self.is_new = True
        self.statuses: set[int] = set()
        self._transport: Any = None
        self._reader = _ResponseReader(
            deliver=self._deliver,
            on_begin=self._handle_begin,
        )
        self._pending: asyncio.Future[Response] | None = None
        self._matches: Matcher | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Mark the connection as usable."""
        self._transport = transport
        self.is_usable = True

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; close on bytes that no request expects."""
        if self._pending is None:
            self.close()
            return
        try:
            self._reader.feed(data)
        except httptools.HttpParserError as exc:
            self._fail(f'malformed response: {exc}')
        if not self._pending.done() and self._reader.is_too_large:
            self._fail('the response is too large')

    def eof_received(self) -> bool:
        """Complete a response that is delimited by the end of the stream."""
        if self._pending and self._reader.partial.ends_with_connection:
            self._reader.finish(can_reuse=False)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the pending request."""
        self._fail(f'connection lost: {exc!r}')

    async def exchange(
        self,
        message: bytes,
        *,
        matches: Matcher | None = None,
    ) -> Response:
        """Send a request and return its complete response.

        A response that ``matches`` rejects belongs to another request and is
        discarded. Raises :class:`ExchangeError`, after which the request may
        have run. Cancellation closes the connection.
        """
        if self._transport.is_closing():
            raise ExchangeError(
                reason='the connection was closed before the request',
                has_answer_begun=False,
            )
        self._pending = asyncio.get_running_loop().create_future()
        self._matches = matches
        self._reader.received = 0
        self.is_new = False
        self._transport.write(message)
        try:
            return await self._pending
        except asyncio.CancelledError:
            self.close()
            raise
        finally:
            self._pending = None

    def close(self) -> None:
        """Close at once and discard data that was not sent yet."""
        self.is_usable = False
        self._transport.abort()

    def _handle_begin(self) -> None:
        # Bytes after the complete response belong to no request.
        if self._pending is not None and self._pending.done():
            self.is_usable = False

    def _deliver(self, response: Response) -> None:
        pending = self._pending
        if pending is None or pending.done():
            self.is_usable = False
            return
        if self._matches is not None and not self._matches(response):
            # More responses to other requests may follow.
            self.is_usable = False
            return
        if not response.can_reuse:
            self.is_usable = False
        self.statuses.add(response.status)
        pending.set_result(response)

    def _fail(self, reason: str) -> None:
        pending = self._pending
        self.is_usable = False
        if pending is not None and not pending.done():
            pending.set_exception(
                ExchangeError(
                    reason=reason,
                    has_answer_begun=self._reader.received > 0,
                ),
            )
        self._transport.abort()
