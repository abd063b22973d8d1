"""Parse the requests on a connection as far as there is room for them."""

from collections.abc import Callable

from goldcrestwharf.http1._paced_protocol import MAX_READ_BYTES
from goldcrestwharf.http1._partial_request import Rejection
from goldcrestwharf.http1._request_parser import RequestParser

#: Number of complete requests that wait above which no more are parsed.
_MAX_PIPELINED = 8

#: Most bytes that are parsed before the limits are checked again. A short
#: request takes many times its bytes once it is parsed.
_SLICE_BYTES = 512

#: Most bytes that are parsed of a request that takes long, before other
#: connections have their turn.
_TURN_BYTES = 4096

#: Bytes that may wait to be parsed while reading goes on, so that a caller that
#: leaves is noticed.
_MAX_UNPARSED_BYTES = 4096

#: Most bytes of one read, unless a body is received.
_SMALL_READ_BYTES = 4096


class RequestReader:
    """Reader of the requests on a connection.

    The complete ones of ``parser`` wait to be served; its rejection is due for
    an answer after them. ``unparsed`` bytes wait for room, and
    ``read_size`` is the most bytes to read next. ``has_enough`` is set while
    nothing more should be received, and ``awaits_turn`` while others have to be
    parsed first. ``admit`` returns whether a number of bytes may be held in
    all.
    """

    def __init__(
        self, *, parser: RequestParser, clock: Callable[[], float]
    ) -> None:
        """Parse with ``parser``."""
        self.parser = parser
        self.unparsed = b''
        self.read_size = _SMALL_READ_BYTES
        self.awaits_turn = False
        self.has_enough = False
        self.admit: Callable[[int], bool] = _admit_all
        self._clock = clock
        self._unparsed_since: float = 0
        self._is_heavy = False
        self._lacks_memory = False

    @property
    def incomplete_since(self) -> float | None:
        """Return when the first byte of an incomplete request arrived."""
        if self.parser.partial is not None:
            return self.parser.partial.received_at
        return self._unparsed_since if self.unparsed else None

    @property
    def held(self) -> int:
        """Return the bytes of memory that requests and their parts take."""
        return len(self.unparsed) + self.parser.held

    def feed(self, received: bytes) -> None:
        """Parse received bytes; discard those behind the last request."""
        if self.parser.is_ended:
            return
        if not self.unparsed:
            self._unparsed_since = self._clock()
        self.unparsed += received
        self.parse()

    def parse(self) -> None:
        """Parse received bytes while there is room for requests.

        Of a request that takes long, only some bytes are parsed.
        """
        turn_bytes = _TURN_BYTES
        self._lacks_memory = False
        while self.unparsed and turn_bytes > 0 and self._has_room():
            size = self._parse_piece()
            turn_bytes -= size if self._is_heavy else 0
        is_blocked = bool(self.unparsed) and turn_bytes > 0
        self.awaits_turn = self._is_heavy and not is_blocked
        self._pace()

    def take_continue(self) -> bool:
        """Return whether status 100 is due; it is so once a request."""
        partial = self.parser.partial
        if partial is None or not partial.awaits_continue:
            return False
        if not self._has_room():
            return False
        partial.awaits_continue = False
        return True

    def end(self, rejection: Rejection | None = None) -> None:
        """Read no more requests; answer the current one with a rejection."""
        self.unparsed = b''
        self.has_enough = False
        if rejection is not None:
            self.parser.reject(rejection)
        # Breaks the cycle of references to the connection.
        self.admit = _admit_all

    def _parse_piece(self) -> int:
        """Parse some bytes, and return how many."""
        partial = self.parser.partial
        size = max(_SLICE_BYTES, 0 if partial is None else partial.missing)
        piece = self.unparsed[:size]
        self.unparsed = self.unparsed[size:]
        self.parser.feed(piece)
        if self.parser.is_ended:
            self.unparsed = b''
        partial = self.parser.partial
        self._is_heavy = partial is not None and partial.is_heavy
        return size

    def _pace(self) -> None:
        """Choose how much to read next.

        Large pieces are read of a body only, if there is memory for them.
        """
        partial = self.parser.partial
        receives_body = partial is not None and partial.body_size
        self.read_size = _SMALL_READ_BYTES
        if receives_body and not self._is_heavy:
            if self._has_room(MAX_READ_BYTES):
                self.read_size = MAX_READ_BYTES
            else:
                self._has_room(_SMALL_READ_BYTES)
        is_full = len(self.unparsed) > _MAX_UNPARSED_BYTES
        is_stopped = is_full or self._lacks_memory or self.awaits_turn
        self.has_enough = is_stopped and not self.parser.is_ended

    def _has_room(self, size: int = 0) -> bool:
        """Return whether to go on: few wait, and there is memory.

        That is for a whole body if its length is announced, and otherwise for
        the next read of ``size`` bytes.
        """
        if len(self.parser.complete) > _MAX_PIPELINED:
            return False
        partial = self.parser.partial
        expected = 0
        if partial is not None and not partial.admitted:
            expected = partial.missing or size
        self._lacks_memory = not self.admit(self.held + expected)
        if expected and partial is not None and not self._lacks_memory:
            partial.admitted = partial.length
        return not self._lacks_memory


def _admit_all(size: int) -> bool:
    return True
