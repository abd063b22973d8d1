"""Assemble responses of bounded size from received bytes."""

from collections.abc import Callable

import attrs
import httptools

from goldcrestwharf.http1._headers import parse_length
from goldcrestwharf.http1._messages import Headers, Response, find_header

_FINAL_STATUS = 200

#: Least and greatest status that HTTP has (RFC 9110, section 15).
_MIN_STATUS = 100
_MAX_STATUS = 599
_BODYLESS = frozenset((204, 304))

#: Most bytes, for one request, of heads up to that of the answer, and of
#: bodies.
_MAX_HEAD_BYTES = 65_536
_MAX_BODY_BYTES = 4_194_304

#: Most bytes of a response with framing (sizes and extensions of chunks,
#: trailers) beyond twice its body. Framing takes no memory, but time to parse.
_MAX_FRAMED_BYTES = 4_194_304

#: Most headers of a response, and most trailers. Each takes some 200 bytes of
#: memory, even if it is empty.
_MAX_HEADERS = 256
_HEADER_BYTES = 200

#: Most responses to one request: interim ones, those to other requests, and
#: the answer.
_MAX_RESPONSES = 64

#: Size of the pieces in which a body is received, and their number in a block.
#: A buffer that grows with the body, or up to the size of a block, is moved as
#: it grows, which fragments the memory of the process.
_PIECE_BYTES = 4096
_PIECES_PER_BLOCK = 32

#: Most bytes that are parsed before the limits are checked again.
_SLICE_BYTES = 4096


@attrs.define(kw_only=True)
class ResponseError(Exception):
    """Raised if received bytes are malformed, or exceed a limit."""

    reason: str


@attrs.define(kw_only=True, eq=False)
class _PartialResponse:
    """The part of a response that has been received."""

    headers: Headers = attrs.field(factory=list)
    blocks: list[bytes] = attrs.field(factory=list)
    pieces: list[bytearray] = attrs.field(factory=list)
    size: int = 0
    trailers: int = 0
    has_length: bool = False
    is_head_complete: bool = False
    status: int = 0

    @property
    def ends_with_connection(self) -> bool:
        """Return whether the response has no length and ends at EOF."""
        return not self.has_length and self.has_body

    @property
    def has_body(self) -> bool:
        """Return whether the head is complete and a body may follow."""
        if not self.is_head_complete:
            return False
        return self.status >= _FINAL_STATUS and self.status not in _BODYLESS

    @property
    def held(self) -> int:
        """Return the bytes of memory that the response takes."""
        return self.size + len(self.headers) * _HEADER_BYTES

    def add(self, chunk: bytes) -> None:
        """Add a part of the body."""
        self.size += len(chunk)
        if not self.pieces or len(self.pieces[-1]) >= _PIECE_BYTES:
            self.pieces.append(bytearray())
        self.pieces[-1] += chunk
        if len(self.pieces) > _PIECES_PER_BLOCK:
            last = self.pieces.pop()
            self.blocks.append(b''.join(self.pieces))
            self.pieces = [last]


class _ParserCallbacks:
    """Parser callbacks that assemble responses and observe the limits.

    ``body_bytes`` counts those of all responses to the request, and
    ``excess`` says which limit was exceeded.
    """

    def __init__(
        self,
        *,
        deliver: Callable[[Response], None],
        on_begin: Callable[[], None],
    ) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.partial = _PartialResponse()
        self.responses = 0
        self.body_bytes = 0
        self.excess = ''
        self._deliver = deliver
        self._handle_begin = on_begin

    def on_message_begin(self) -> None:
        self.partial = _PartialResponse()
        self.responses += 1
        if self.responses > _MAX_RESPONSES:
            self._stop(f'more than {_MAX_RESPONSES} responses to one request')
        self._handle_begin()

    def on_header(self, name: bytes, header_value: bytes) -> None:
        partial = self.partial
        if partial.is_head_complete:
            # Trailers are counted and discarded.
            partial.trailers += 1
        else:
            partial.headers.append((name, header_value))
        if max(len(partial.headers), partial.trailers) > _MAX_HEADERS:
            self._stop(f'more than {_MAX_HEADERS} headers')

    def on_headers_complete(self) -> None:
        partial = self.partial
        partial.is_head_complete = True
        partial.status = self.parser.get_status_code()
        if not _MIN_STATUS <= partial.status <= _MAX_STATUS:
            self.excess = f'malformed response: status {partial.status}'
            raise ResponseError(reason=self.excess)
        written = find_header(partial.headers, b'content-length')
        encoding = find_header(partial.headers, b'transfer-encoding')
        partial.has_length = (written or encoding) is not None
        if written and partial.has_body:
            self._check_body(parse_length(written) or 0)

    def on_body(self, chunk: bytes) -> None:
        self._check_body(len(chunk))
        self.body_bytes += len(chunk)
        self.partial.add(chunk)

    def on_message_complete(self) -> None:
        self.finish(can_reuse=self.parser.should_keep_alive())

    def finish(self, *, can_reuse: bool) -> None:
        partial = self.partial
        self.partial = _PartialResponse()
        if partial.status >= _FINAL_STATUS:
            self._deliver(
                Response(
                    status=partial.status,
                    headers=partial.headers,
                    body=b''.join((*partial.blocks, *partial.pieces)),
                    can_reuse=can_reuse,
                ),
            )

    def _stop(self, excess: str) -> None:
        self.excess = f'the response is too large: {excess}'
        raise ResponseError(reason=self.excess)

    def _check_body(self, size: int) -> None:
        if self.body_bytes + size > _MAX_BODY_BYTES:
            self._stop(f'a body of more than {_MAX_BODY_BYTES} bytes')


class ResponseReader:
    """Reader of the responses to one request at a time.

    It passes each complete response to ``deliver``, except interim ones
    (1xx), and calls ``on_begin`` at the first byte of each response.
    ``received`` counts the bytes since the request was sent.
    """

    def __init__(
        self,
        *,
        deliver: Callable[[Response], None],
        on_begin: Callable[[], None],
    ) -> None:
        """Begin without a response."""
        self.received = 0
        self._callbacks = _ParserCallbacks(deliver=deliver, on_begin=on_begin)

    @property
    def is_mostly_framing(self) -> bool:
        """Return whether at most half of the bytes are those of bodies."""
        return self.received >= 2 * self._callbacks.body_bytes

    @property
    def held(self) -> int:
        """Return the bytes of memory that the partial response takes."""
        return self._callbacks.partial.held

    def begin_exchange(self) -> None:
        """Count the bytes and responses of a new request from zero."""
        self.received = 0
        self._callbacks.responses = 0
        self._callbacks.body_bytes = 0

    def feed(self, received: bytes) -> None:
        """Parse received bytes.

        Raises :class:`ResponseError`, after which the connection is of no use.
        """
        for start in range(0, len(received), _SLICE_BYTES):
            piece = received[start : start + _SLICE_BYTES]
            self.received += len(piece)
            self._parse(piece)
            self._check_framing()

    def discard(self) -> None:
        """Release the memory of the partial response."""
        self._callbacks.partial = _PartialResponse()

    def finish_at_eof(self) -> None:
        """Deliver a response that ends with the connection."""
        if self._callbacks.partial.ends_with_connection:
            self._callbacks.finish(can_reuse=False)

    def _parse(self, piece: bytes) -> None:
        try:
            self._callbacks.parser.feed_data(piece)
        except httptools.HttpParserUpgrade as exc:
            reason = 'malformed response: another protocol follows'
            raise ResponseError(reason=reason) from exc
        except httptools.HttpParserError as exc:
            reason = self._callbacks.excess or f'malformed response: {exc}'
            raise ResponseError(reason=reason) from exc

    def _check_framing(self) -> None:
        body_bytes = self._callbacks.body_bytes
        allowed = _MAX_HEAD_BYTES
        if self._callbacks.partial.is_head_complete or body_bytes:
            allowed += max(_MAX_FRAMED_BYTES, 2 * body_bytes)
        if self.received > allowed:
            raise ResponseError(
                reason='the response is too large: '
                f'{self.received} bytes, {body_bytes} of them of the body'
            )
