"""Define HTTP/1.1 requests, responses of targets and answers to callers."""

import http
from types import MappingProxyType

import attrs

#: Header names and values as received, in order.
Headers = list[tuple[bytes, bytes]]

_PHRASES = MappingProxyType(
    {status.value: status.phrase for status in http.HTTPStatus}
)

_FIRST_REDIRECT = 300

#: Statuses without a body and content length (RFC 9110).
_BODYLESS = frozenset(
    (http.HTTPStatus.NO_CONTENT, http.HTTPStatus.NOT_MODIFIED)
)


@attrs.define(kw_only=True, eq=False)
class Request:
    """A complete request of a caller.

    ``received_at`` is the monotonic time, in seconds, of its first byte.
    ``target`` is the path with the query, as sent, and ``caller`` the IP
    address of the caller. ``reserved`` is the memory reserved for the body,
    and ``held`` the rest of the memory of the request, in bytes.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    received_at: float
    has_body: bool
    wants_close: bool
    caller: str = ''
    reserved: int = 0
    held: int = 0

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return self.target.partition(b'?')[0].decode('latin-1')

    def find(self, name: bytes) -> bytes | None:
        """Return the first value of a header; ``name`` is in lower case."""
        return find_header(self.headers, name)

    def find_single(self, name: bytes) -> bytes | None:
        """Return the value of a header, ``None`` if it is repeated."""
        header_values = [
            header_value
            for key, header_value in self.headers
            if key.lower() == name
        ]
        return header_values[0] if len(header_values) == 1 else None


@attrs.define(kw_only=True, eq=False)
class Response:
    """A complete response of a target.

    ``can_reuse`` is set if the connection can carry another request.
    """

    status: int
    headers: Headers
    body: bytes
    can_reuse: bool

    @property
    def is_success(self) -> bool:
        """Return whether the status is 2xx."""
        return http.HTTPStatus.OK <= self.status < _FIRST_REDIRECT

    def find(self, name: bytes) -> bytes | None:
        """Return the first value of a header; ``name`` is in lower case."""
        return find_header(self.headers, name)


@attrs.frozen(kw_only=True)
class Answer:
    """An answer to a caller.

    ``head`` has the header lines, each with its line end, without
    ``Connection`` and ``Content-Length``.
    """

    status: int
    head: bytes = b''
    body: bytes = b''

    def render(self, *, closes: bool, has_body: bool = True) -> bytes:
        """Return the bytes of the complete answer."""
        phrase = _PHRASES.get(self.status, '')
        length = b'Content-Length: %d\r\n' % len(self.body)
        return b''.join(
            (
                f'HTTP/1.1 {self.status} {phrase}\r\n'.encode('latin-1'),
                self.head,
                b'' if self.status in _BODYLESS else length,
                b'Connection: close\r\n\r\n' if closes else b'\r\n',
                self.body if has_body else b'',
            )
        )


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header; ``name`` is in lower case."""
    for key, header_value in headers:
        if key.lower() == name:
            return header_value
    return None
