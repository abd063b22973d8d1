"""Send requests over a connection and read complete responses."""

import asyncio
from collections.abc import Callable
from functools import partial
from typing import Any

import attrs

from goldcrestwharf.http1._messages import Response
from goldcrestwharf.http1._response_reader import (
    ResponseError,
    ResponseReader,
)
from goldcrestwharf.transfers import ResponseShare

#: Most bytes of one read, so that parsing them doesn't delay other tasks.
#: Parsing small chunks takes many times as long as parsing large ones.
_READ_BYTES = 65_536
_SMALL_READ_BYTES = 4096


@attrs.define(kw_only=True)
class ExchangeError(Exception):
    """Raised if no complete response was received.

    ``has_answer_begun`` is set if part of a response was received.
    """

    reason: str
    has_answer_begun: bool = False


#: Returns whether a response belongs to the pending request.
Matcher = Callable[[Response], bool]


#: Buffer of all connections: each read is parsed before the next one begins.
_read_buffer = memoryview(bytearray(_READ_BYTES))


class _Receiver(asyncio.BufferedProtocol):
    """Protocol that parses what it receives in reads of bounded size."""

    def __init__(self, *, reader: ResponseReader) -> None:
        self._reader = reader

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        if self._reader.is_mostly_framing:
            return _read_buffer[:_SMALL_READ_BYTES]
        return _read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Handle the bytes in the buffer."""
        self.data_received(bytes(_read_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Handle received bytes."""
        raise NotImplementedError


class ClientConn(_Receiver):
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
        super().__init__(
            reader=ResponseReader(
                deliver=self._deliver,
                on_begin=self._handle_begin,
            )
        )
        self._pending: asyncio.Future[Response] | None = None
        self._matches: Matcher | None = None
        self._share: ResponseShare | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Mark the connection as usable."""
        self._transport = transport
        self.is_usable = True

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; close on bytes that no request expects."""
        if self._pending is None or self._pending.done():
            self.close()
            return
        try:
            self._reader.feed(data)
        except ResponseError as exc:
            self._fail(exc.reason)
        if self._share is not None:
            self._share.hold(self._reader.held)

    def eof_received(self) -> bool:
        """Complete a response that is delimited by the end of the stream."""
        if self._pending:
            self._reader.finish_at_eof()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the pending request."""
        self._fail(f'connection lost: {exc!r}')

    async def exchange(
        self,
        message: bytes,
        *,
        matches: Matcher | None = None,
        share: ResponseShare | None = None,
    ) -> Response:
        """Send a request and return its complete response.

        A response that ``matches`` rejects belongs to another request and is
        discarded. The memory of the response is held in ``share`` until it is
        complete. Raises :class:`ExchangeError`, after which the request may
        have run. Cancellation closes the connection.
        """
        if self._transport.is_closing():
            raise ExchangeError(
                reason='the connection was closed before the request',
                has_answer_begun=False,
            )
        self._pending = asyncio.get_running_loop().create_future()
        self._matches = matches
        self._share = share
        if share is not None:
            share.refuse = partial(self._fail, 'no memory for the response')
        self._reader.begin_exchange()
        self.is_new = False
        self._transport.write(message)
        try:
            return await self._pending
        except asyncio.CancelledError:
            self.close()
            raise
        finally:
            self._pending = None
            if share is not None:
                share.hold(0)

    def close(self) -> None:
        """Close at once and discard data that was not sent yet."""
        self.is_usable = False
        self._reader.discard()
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
        self._reader.discard()
        self._transport.abort()
