"""Parse the requests that are received on a connection."""

import http
from collections import deque
from collections.abc import Callable

import attrs
import httptools

from goldcrestwharf.http1._limits import CallerLimits
from goldcrestwharf.http1._messages import Headers, Request
from goldcrestwharf.loglines import EventLog
from goldcrestwharf.transfers import BodyBudget

_log = EventLog(__name__)


#: Maximum number of headers, and of trailers, of a request. Each takes some
#: 150 bytes beside its own.
_MAX_FIELDS = 1000

#: Bytes by which a part of a request that the parser holds back may exceed the
#: limit of the head, for what is not counted there.
_HELD_MARGIN_BYTES = 1024


class BadRequestError(Exception):
    """Raised for a request that is rejected before routing."""

    def __init__(self, *, status: int, head: bytes = b'') -> None:
        """Reject with the HTTP status ``status``, with header lines."""
        super().__init__(f'rejected with status {status}')
        self.status = status
        self.head = head


@attrs.define(kw_only=True, eq=False)
class _PartialRequest:
    """The part of a request that has been received.

    ``head_size``, ``body_size`` and ``trailer_size`` count the bytes of its
    parts. ``length`` is the announced size of the body, and ``reserved`` the
    memory for it.
    ``awaits_continue`` is set while the body depends on a status 100.
    """

    received_at: float
    target: bytes = b''
    headers: Headers = attrs.field(factory=list)
    body: bytearray = attrs.field(factory=bytearray)
    head_size: int = 0
    body_size: int = 0
    trailer_size: int = 0
    fields: int = 0
    is_head_read: bool = False
    has_body: bool = False
    length: int = 0
    reserved: int = 0
    expects_continue: bool = False
    awaits_continue: bool = False

    def count_fields(self, size: int, limit: int) -> None:
        """Count bytes of the head, or of the trailers, against ``limit``."""
        if self.is_head_read:
            self.trailer_size += size
        else:
            self.head_size += size
        is_too_large = max(self.head_size, self.trailer_size) > limit
        if is_too_large or self.fields > _MAX_FIELDS:
            raise BadRequestError(
                status=http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            )

    def count_body(self, size: int, limit: int) -> None:
        """Count bytes of the body against ``limit``."""
        self.body_size += size
        if self.body_size > limit:
            raise BadRequestError(
                status=http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE
            )


class RequestReader:
    """A parser of requests, which are added to ``complete``.

    ``rejection`` is set by a malformed or too large request, which is due for
    an answer after the complete ones. ``is_ended`` says that nothing more is
    read: after that, and after a request that asks to close the connection.
    """

    def __init__(
        self,
        *,
        limits: Callable[[], CallerLimits],
        clock: Callable[[], float],
        budget: BodyBudget | None = None,
    ) -> None:
        """Apply the limits that ``limits`` returns at each use.

        Memory for bodies is taken from ``budget`` while that is enabled.
        """
        self.budget = budget
        self.limits = limits
        self.complete: deque[Request] = deque()
        self.rejection: BadRequestError | None = None
        self.is_ended = False
        self._held_bytes = 0
        self._clock = clock
        self._partial: _PartialRequest | None = None
        self._callbacks = _Callbacks(self)
        self._parser = httptools.HttpRequestParser(self._callbacks)

    @property
    def incomplete_since(self) -> float | None:
        """Return when the first byte of an incomplete request arrived."""
        partial = self._partial
        return None if partial is None else partial.received_at

    def take_continue(self) -> bool:
        """Return whether status 100 is due; it is so once a request."""
        partial = self._partial
        if partial is None or not partial.awaits_continue:
            return False
        partial.awaits_continue = False
        return True

    def feed(self, chunk: bytes) -> None:
        """Parse received bytes; discard those behind the last request."""
        if self.is_ended:
            return
        self._held_bytes += len(chunk)
        try:
            self._parser.feed_data(chunk)
        except httptools.HttpParserError as exc:
            # The parser fails as well for bytes behind the last request.
            if not self.is_ended:
                self.reject(_find_bad_request(exc))
        limit = self.limits().max_head_bytes + _HELD_MARGIN_BYTES
        # The parser holds back a header or trailer until it is complete.
        if self._partial is not None and self._held_bytes > limit:
            status = http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            self.reject(BadRequestError(status=status))

    def reject(self, rejection: BadRequestError) -> None:
        """Give up the current request, and release its memory."""
        self.rejection = rejection
        self.is_ended = True
        if self._partial is not None and self.budget is not None:
            self.budget.release(self._partial.reserved)
        self._partial = None

    def ensure_partial(self) -> _PartialRequest:
        """Return the current request; start one if there is none."""
        self._held_bytes = 0
        if self._partial is None:
            self._partial = _PartialRequest(received_at=self._clock())
        return self._partial

    def reserve(self, size: int) -> None:
        """Reserve memory for the body of the current request."""
        partial = self.ensure_partial()
        budget = self.budget
        if budget is None or not size or not budget.is_enabled():
            return
        if not budget.reserve(size, held=partial.reserved):
            _log.note('caller.body_refused', size=size, used=budget.used)
            raise BadRequestError(
                status=http.HTTPStatus.SERVICE_UNAVAILABLE,
                head=b'Retry-After: %.3f\r\n' % budget.find_retry_after(size),
            )
        partial.reserved += size

    def release_all(self) -> None:
        """Release the memory of all requests that were not taken."""
        reserved = sum(req.reserved for req in self.complete)
        self.complete.clear()
        if self._partial is not None:
            reserved += self._partial.reserved
            self._partial.reserved = 0
        if self.budget is not None:
            self.budget.release(reserved)

    def finish(self) -> None:
        """Add the current request to the complete ones."""
        partial = self.ensure_partial()
        self._partial = None
        self.is_ended = not self._parser.should_keep_alive()
        self.complete.append(
            Request(
                method=self._parser.get_method(),
                target=partial.target,
                headers=partial.headers,
                body=bytes(partial.body),
                received_at=partial.received_at,
                has_body=partial.has_body,
                wants_close=self.is_ended,
                reserved=partial.reserved,
            ),
        )

    def end_head(self) -> None:
        """Check the head of the current request."""
        if self._parser.should_upgrade():
            raise BadRequestError(status=http.HTTPStatus.BAD_REQUEST)
        partial = self.ensure_partial()
        partial.is_head_read = True
        partial.fields = 0
        limit = self.limits().max_body_bytes
        if partial.length > limit:
            raise BadRequestError(
                status=http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE
            )
        self.reserve(partial.length)
        partial.awaits_continue = partial.expects_continue


class _Callbacks:
    """Parser callbacks that assemble requests."""

    def __init__(self, reader: RequestReader) -> None:
        self._reader = reader

    def on_message_begin(self) -> None:
        self._reader.ensure_partial()

    def on_url(self, chunk: bytes) -> None:
        self._count_fields(len(chunk))
        self._reader.ensure_partial().target += chunk

    def on_header(self, name: bytes, header_value: bytes) -> None:
        partial = self._reader.ensure_partial()
        partial.fields += 1
        self._count_fields(len(name) + len(header_value))
        if partial.is_head_read:
            # Trailers aren't passed on: they could replace checked headers.
            return
        partial.headers.append((name, header_value))
        lowered = name.lower()
        if lowered in {b'content-length', b'transfer-encoding'}:
            partial.has_body = True
            if header_value.isdigit():
                partial.length = int(header_value)
        elif lowered == b'expect':
            partial.expects_continue = True

    def on_headers_complete(self) -> None:
        self._reader.end_head()

    def on_body(self, chunk: bytes) -> None:
        partial = self._reader.ensure_partial()
        partial.count_body(len(chunk), self._reader.limits().max_body_bytes)
        self._reader.reserve(max(partial.body_size - partial.reserved, 0))
        partial.body += chunk

    def on_message_complete(self) -> None:
        self._reader.finish()

    def _count_fields(self, size: int) -> None:
        limit = self._reader.limits().max_head_bytes
        self._reader.ensure_partial().count_fields(size, limit)


def _find_bad_request(exc: BaseException) -> BadRequestError:
    """Return the error that a callback raised inside the parser."""
    cause: BaseException | None = exc
    while cause is not None:
        if isinstance(cause, BadRequestError):
            return BadRequestError(status=cause.status, head=cause.head)
        cause = cause.__cause__ or cause.__context__
    return BadRequestError(status=http.HTTPStatus.BAD_REQUEST)
