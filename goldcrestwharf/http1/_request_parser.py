"""Parse requests from pieces of the bytes that are received."""

import http
from collections import deque
from collections.abc import Callable
from typing import Any

import attrs
import httptools

from goldcrestwharf.http1._limits import CallerLimits
from goldcrestwharf.http1._messages import Request
from goldcrestwharf.http1._partial_request import (
    BadRequestError,
    PartialRequest,
    Progress,
    Rejection,
)
from goldcrestwharf.loglines import EventLog
from goldcrestwharf.transfers import BodyBudget

_log = EventLog(__name__)

#: Bytes by which a part of a request that the parser holds back may exceed the
#: limit of the head, for what is not counted there.
_HELD_MARGIN_BYTES = 1024


@attrs.frozen(kw_only=True)
class ParserTerms:
    """What requests are parsed with.

    The limits that ``limits`` returns apply to a request from its begin.
    Memory for bodies is taken from ``budget`` while that is enabled.
    """

    limits: Callable[[], CallerLimits]
    clock: Callable[[], float]
    budget: BodyBudget | None = None


class RequestParser:
    """A parser of requests, which are added to ``complete``.

    ``partial`` is the request that is being received. ``rejection`` is set by
    a malformed or too large request. ``is_ended`` says that nothing more is
    parsed: after that, and after a request that asks to close the connection.
    """

    def __init__(self, *, terms: ParserTerms) -> None:
        """Parse according to ``terms``."""
        self.terms = terms
        self.complete: deque[Request] = deque()
        self.partial: PartialRequest | None = None
        self.rejection: Rejection | None = None
        self.is_ended = False
        self._unreported = 0
        self.parser: Any = httptools.HttpRequestParser(_Callbacks(self))

    @property
    def held(self) -> int:
        """Return the bytes of memory that requests and their parts take."""
        waiting = sum(req.held for req in self.complete)
        partial = 0 if self.partial is None else self.partial.held
        return self._unreported + waiting + partial

    def feed(self, piece: bytes) -> None:
        """Parse a piece of the received bytes."""
        partial = self.partial
        before = None if partial is None else partial.progress
        self._unreported += len(piece)
        try:
            self.parser.feed_data(piece)
        except httptools.HttpParserError as exc:
            # The parser fails as well for bytes behind the last request.
            if not self.is_ended:
                self.reject(_find_rejection(exc))
        if self.is_ended:
            self.end()
        elif before is None or partial is None or partial is not self.partial:
            self._check_unreported()
        else:
            self._check_progress(partial, len(piece), before)

    def reject(self, rejection: Rejection) -> None:
        """Give up the current request, and release its memory."""
        self.rejection = rejection
        if self.partial is not None and self.terms.budget is not None:
            self.terms.budget.release(self.partial.reserved)
        self.partial = None
        self.end()

    def end(self) -> None:
        """Parse nothing more, and release what the parser holds."""
        self.is_ended = True
        self._unreported = 0
        # Breaks the cycle of references to the callbacks.
        self.parser = None

    def release_all(self) -> None:
        """Release the memory of all requests that were not taken."""
        reserved = sum(req.reserved for req in self.complete)
        self.complete.clear()
        if self.partial is not None:
            reserved += self.partial.reserved
            self.partial = None
        if self.terms.budget is not None:
            self.terms.budget.release(reserved)
        self.end()

    def ensure_partial(self) -> PartialRequest:
        """Return the current request; start one if there is none."""
        self._unreported = 0
        if self.partial is None:
            self.partial = PartialRequest(
                received_at=self.terms.clock(), limits=self.terms.limits()
            )
        return self.partial

    def _check_progress(
        self, partial: PartialRequest, size: int, before: Progress
    ) -> None:
        """Check a request of which a piece was received, after ``before``."""
        # The parser holds back a header or trailer until it is complete.
        allowed = partial.limits.max_head_bytes + _HELD_MARGIN_BYTES
        try:
            partial.framing.count_piece(size, before, partial.progress)
        except BadRequestError as exc:
            self.reject(exc.rejection)
            return
        if self._unreported > allowed:
            status = http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            self.reject(Rejection(status=status))

    def _check_unreported(self) -> None:
        """Check empty lines before a request, which the parser skips."""
        if self._unreported > self.terms.limits().max_head_bytes:
            self.reject(Rejection(status=http.HTTPStatus.BAD_REQUEST))


class _Callbacks:
    """Parser callbacks that assemble requests."""

    def __init__(self, owner: RequestParser) -> None:
        self._owner = owner

    def on_message_begin(self) -> None:
        self._owner.ensure_partial()

    def on_url(self, chunk: bytes) -> None:
        partial = self._owner.ensure_partial()
        partial.framing.count_target(len(chunk))
        partial.target += chunk

    def on_header(self, name: bytes, header_value: bytes) -> None:
        partial = self._owner.ensure_partial()
        if partial.is_head_read:
            # Trailers aren't passed on: they could replace checked headers.
            partial.framing.count_trailer(name, header_value)
        else:
            partial.add_header(name, header_value)

    def on_headers_complete(self) -> None:
        """Check the head of the current request."""
        if self._owner.parser.should_upgrade():
            raise BadRequestError(status=http.HTTPStatus.BAD_REQUEST)
        partial = self._owner.ensure_partial()
        budget = self._owner.terms.budget
        partial.end_head()
        partial.is_budgeted = budget is not None and budget.is_enabled()
        self._reserve(partial, partial.length)
        partial.admitted = partial.reserved

    def on_body(self, chunk: bytes) -> None:
        partial = self._owner.ensure_partial()
        partial.add_body(chunk)
        if partial.body_size > partial.reserved:
            self._reserve(partial, partial.body_size - partial.reserved)

    def on_message_complete(self) -> None:
        """Add the current request to the complete ones."""
        owner = self._owner
        partial = self._owner.ensure_partial()
        owner.partial = None
        owner.is_ended = not owner.parser.should_keep_alive()
        owner.complete.append(
            partial.finish(
                method=owner.parser.get_method(), wants_close=owner.is_ended
            )
        )

    def _reserve(self, partial: PartialRequest, size: int) -> None:
        """Reserve memory for the body of the current request."""
        budget = self._owner.terms.budget
        if budget is None or not size or not partial.is_budgeted:
            return
        if not budget.reserve(size, held=partial.reserved):
            _log.note('caller.body_refused', size=size, used=budget.used)
            raise BadRequestError(
                status=http.HTTPStatus.SERVICE_UNAVAILABLE,
                head=b'Retry-After: %.3f\r\n' % budget.find_retry_after(size),
            )
        partial.reserved += size


def _find_rejection(exc: BaseException) -> Rejection:
    """Return the rejection that a callback raised inside the parser.

    Keeping the exception would keep the frames that it passed.
    """
    cause: BaseException | None = exc
    while cause is not None:
        if isinstance(cause, BadRequestError):
            return cause.rejection
        cause = cause.__cause__ or cause.__context__
    return Rejection(status=http.HTTPStatus.BAD_REQUEST)
