"""Assemble the requests that arrive on a connection."""

import http
from collections import deque
from collections.abc import Callable

import httptools

from goldcrestwharf.http1._limits import CallerLimits
from goldcrestwharf.http1._messages import Headers, Request


class BadRequestError(Exception):
    """Report a request that is refused before it is routed."""

    def __init__(self, *, status: int) -> None:
        """Refuse with ``status``."""
        super().__init__(f'refused with status {status}')
        self.status = status


class _Partial:
    """Hold what has arrived of one request."""

    def __init__(self, *, received_at: float) -> None:
        self.received_at = received_at
        self.target = b''
        self.headers: Headers = []
        self.chunks: list[bytes] = []
        self.size = 0
        self.has_body = False


class RequestReader:
    """Parse bytes into whole requests, strictly.

    Raises :class:`BadRequestError` from :meth:`feed` for what is malformed
    or too large; nothing more can be read from the connection then.
    """

    def __init__(
        self,
        *,
        limits: Callable[[], CallerLimits],
        clock: Callable[[], float],
    ) -> None:
        """Ask ``limits`` for the bounds in force."""
        self.complete: deque[Request] = deque()
        self.expects_continue = False
        self._limits = limits
        self._clock = clock
        self._partial: _Partial | None = None
        self._callbacks = _Callbacks(self)
        self._parser = httptools.HttpRequestParser(self._callbacks)

    @property
    def waits_since(self) -> float | None:
        """Return when a request began of which a part is missing."""
        partial = self._partial
        return None if partial is None else partial.received_at

    def feed(self, chunk: bytes) -> None:
        """Take in bytes."""
        if self._partial is None:
            self._partial = _Partial(received_at=self._clock())
        try:
            self._parser.feed_data(chunk)
        except httptools.HttpParserUpgrade as exc:
            raise BadRequestError(status=http.HTTPStatus.BAD_REQUEST) from exc
        except httptools.HttpParserError as exc:
            raise _find_refusal(exc) from exc

    def begin(self) -> _Partial:
        """Return the request that the parser is at."""
        if self._partial is None:
            self._partial = _Partial(received_at=self._clock())
        return self._partial

    def add(self, size: int, limit: int, status: int) -> None:
        """Count bytes of the request against a limit."""
        partial = self.begin()
        partial.size += size
        if partial.size > limit:
            raise BadRequestError(status=status)

    def finish(self) -> None:
        """Hand out the request that is whole now."""
        partial = self.begin()
        self._partial = None
        self.expects_continue = False
        self.complete.append(
            Request(
                method=self._parser.get_method(),
                target=partial.target,
                headers=partial.headers,
                body=b''.join(partial.chunks),
                received_at=partial.received_at,
                has_body=partial.has_body,
                wants_close=not self._parser.should_keep_alive(),
            ),
        )

    def bounds(self) -> CallerLimits:
        """Return the limits in force."""
        return self._limits()


class _Callbacks:
    """Receive what the parser finds."""

    def __init__(self, reader: RequestReader) -> None:
        self._reader = reader

    def on_message_begin(self) -> None:
        self._reader.begin()

    def on_url(self, chunk: bytes) -> None:
        self._count_head(len(chunk))
        self._reader.begin().target += chunk

    def on_header(self, name: bytes, found: bytes) -> None:
        self._count_head(len(name) + len(found))
        self._reader.begin().headers.append((name, found))
        lowered = name.lower()
        if lowered in {b'content-length', b'transfer-encoding'}:
            self._reader.begin().has_body = True
        elif lowered == b'expect':
            self._reader.expects_continue = True

    def on_headers_complete(self) -> None:
        self._reader.begin().size = 0

    def on_body(self, chunk: bytes) -> None:
        self._reader.add(
            len(chunk),
            self._reader.bounds().max_body_bytes,
            http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        )
        self._reader.begin().chunks.append(chunk)

    def on_message_complete(self) -> None:
        self._reader.finish()

    def _count_head(self, size: int) -> None:
        self._reader.add(
            size,
            self._reader.bounds().max_head_bytes,
            http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
        )


def _find_refusal(exc: BaseException) -> BadRequestError:
    """Return the refusal that a callback raised inside the parser."""
    cause: BaseException | None = exc
    while cause is not None:
        if isinstance(cause, BadRequestError):
            return BadRequestError(status=cause.status)
        cause = cause.__cause__ or cause.__context__
    return BadRequestError(status=http.HTTPStatus.BAD_REQUEST)
