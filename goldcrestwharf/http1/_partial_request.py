"""Hold the part of a request that has been received."""

import http

import attrs

from goldcrestwharf.http1._headers import parse_length
from goldcrestwharf.http1._limits import CallerLimits
from goldcrestwharf.http1._messages import Headers, Request

#: Memory of a request beside its headers and body, and of a header beside its
#: name and value, in bytes.
_REQUEST_BYTES = 1024
_FIELD_BYTES = 160

#: Least bytes of a request line, and of a header line, beside the target, or
#: the name and value.
_LINE_BYTES = 14
_FIELD_LINE_BYTES = 3

#: Bytes that a request may have, beside its body and a fraction of that, before
#: its connection has to wait its turn. Each header and each chunk takes time.
_LIGHT_BYTES = 4096
_LIGHT_FRACTION = 0.125


@attrs.frozen(kw_only=True)
class Rejection:
    """The HTTP status and header lines that answer a rejected request."""

    status: int
    head: bytes = b''


class BadRequestError(Exception):
    """Raised for a request that is rejected before routing."""

    def __init__(self, *, status: int, head: bytes = b'') -> None:
        """Reject with the HTTP status ``status``, with header lines."""
        super().__init__(f'rejected with status {status}')
        self.rejection = Rejection(status=status, head=head)


@attrs.frozen(kw_only=True)
class Progress:
    """How much of a request has been received."""

    is_head_read: bool
    has_trailers: bool
    body_size: int


@attrs.define(kw_only=True, eq=False)
class FramingCounter:
    """Counts of the bytes of a request beside its body.

    ``head_size`` and ``trailer_size`` are those that the parser has reported,
    ``section_bytes`` those received within the current part, and ``total`` all
    of them.
    """

    max_head_bytes: int
    head_size: int = _LINE_BYTES
    trailer_size: int = 0
    section_bytes: int = 0
    total: int = 0

    def count_target(self, size: int) -> None:
        """Count bytes of the request target against the limit of the head."""
        self.head_size += size
        self._check(self.head_size)

    def count_header(self, name: bytes, header_value: bytes) -> None:
        """Count a header against the limit of the head."""
        self.head_size += len(name) + len(header_value) + _FIELD_LINE_BYTES
        self._check(self.head_size)

    def count_trailer(self, name: bytes, trailer: bytes) -> None:
        """Count a trailer; they have the limit of the head."""
        self.trailer_size += len(name) + len(trailer) + _FIELD_LINE_BYTES
        self._check(self.trailer_size)

    def count_piece(self, size: int, before: Progress, now: Progress) -> None:
        """Count received bytes, with what was received before and after them.

        Besides what the parser reports they have white space, of which a head
        or trailers may consist.
        """
        self.total += size - now.body_size + before.body_size
        is_body = now.is_head_read and not now.has_trailers
        if is_body or before != now:
            self.section_bytes = 0
        else:
            self.section_bytes += size
            self._check(self.section_bytes)

    def _check(self, size: int) -> None:
        if size > self.max_head_bytes:
            raise BadRequestError(
                status=http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            )


@attrs.define(kw_only=True, eq=False)
class PartialRequest:
    """The part of a request that has been received.

    ``framing`` counts all but the body. ``length`` is the announced size of
    the body. Its memory is ``admitted`` before the body is read, and
    ``reserved`` elsewhere if ``is_budgeted``. ``awaits_continue`` is set while
    the body depends on a status 100.
    """

    received_at: float
    limits: CallerLimits
    framing: FramingCounter = attrs.field(init=False)
    target: bytes = b''
    headers: Headers = attrs.field(factory=list)
    body: bytearray = attrs.field(factory=bytearray)
    body_size: int = 0
    is_head_read: bool = False
    has_body: bool = False
    length: int = 0
    reserved: int = 0
    admitted: int = 0
    is_budgeted: bool = False
    expects_continue: bool = False
    awaits_continue: bool = False

    @property
    def missing(self) -> int:
        """Return the bytes of the announced body that are still due."""
        return max(self.length - self.body_size, 0) if self.is_head_read else 0

    @property
    def held(self) -> int:
        """Return the bytes of memory that the request takes.

        Memory that is reserved otherwise isn't counted.
        """
        fields = len(self.headers) * _FIELD_BYTES
        body = max(self.body_size, self.admitted) - self.reserved
        return _REQUEST_BYTES + self.framing.head_size + fields + max(body, 0)

    @property
    def is_heavy(self) -> bool:
        """Return whether the request takes long to parse for its size."""
        allowed = _LIGHT_BYTES + self.body_size * _LIGHT_FRACTION
        return self.framing.total > allowed

    @property
    def progress(self) -> Progress:
        """Return how much has been received."""
        return Progress(
            is_head_read=self.is_head_read,
            has_trailers=bool(self.framing.trailer_size),
            body_size=self.body_size,
        )

    def add_header(self, name: bytes, header_value: bytes) -> None:
        """Add a header."""
        self.framing.count_header(name, header_value)
        self.headers.append((name, header_value))
        lowered = name.lower()
        if lowered in {b'content-length', b'transfer-encoding'}:
            self.has_body = True
            self.length = parse_length(header_value) or self.length
        elif lowered == b'expect':
            self.expects_continue = True

    def end_head(self) -> None:
        """Check the complete head."""
        self.is_head_read = True
        self.awaits_continue = self.expects_continue
        self._check_body(self.length)

    def add_body(self, chunk: bytes) -> None:
        """Add a part of the body."""
        self.body_size += len(chunk)
        self._check_body(self.body_size)
        self.body += chunk

    def finish(self, *, method: bytes, wants_close: bool) -> Request:
        """Return the complete request."""
        return Request(
            method=method,
            target=self.target,
            headers=self.headers,
            body=bytes(self.body),
            received_at=self.received_at,
            has_body=self.has_body,
            wants_close=wants_close,
            reserved=self.reserved,
            held=self.held,
        )

    def _check_body(self, size: int) -> None:
        if size > self.limits.max_body_bytes:
            raise BadRequestError(
                status=http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE
            )

    @framing.default
    def _make_framing(self) -> FramingCounter:
        return FramingCounter(max_head_bytes=self.limits.max_head_bytes)
