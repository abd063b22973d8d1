"""Receive the requests on a connection of a caller, within its bounds."""

import http
from collections.abc import Callable
from typing import Any

from goldcrestwharf.http1._caller_bounds import CallerBounds
from goldcrestwharf.http1._conn_memory import ConnMemory
from goldcrestwharf.http1._conn_slot import ConnSlot
from goldcrestwharf.http1._partial_request import Rejection
from goldcrestwharf.http1._request_reader import RequestReader
from goldcrestwharf.loglines import EventLog

_log = EventLog(__name__)

#: Answer to a request that is refused for lack of memory. Others have to give
#: memory back by then.
_REFUSAL = Rejection(
    status=http.HTTPStatus.SERVICE_UNAVAILABLE,
    head=b'Retry-After: 0.500\r\n',
)


class CallerInput:
    """What a connection receives, and the memory and turns that it takes."""

    def __init__(
        self,
        *,
        reader: RequestReader,
        bounds: CallerBounds,
        proceed: Callable[[], None],
        now: float,
    ) -> None:
        """Call ``proceed`` after requests may have been received."""
        self.memory = ConnMemory(
            memory=bounds.memory, resume=self.resume, give_up=self._give_up
        )
        self.slot = ConnSlot(
            drop=self._drop,
            find_incomplete_since=lambda: reader.incomplete_since,
            is_busy=lambda: self.memory.is_busy or bool(reader.parser.complete),
            has_unsent=self.memory.has_unsent,
            idle_since=now,
        )
        reader.admit = self.memory.admit
        self._transport: Any = None
        self._reader = reader
        self._bounds = bounds
        self._proceed = proceed

    def open(self, transport: Any) -> bool:
        """Begin to receive; return ``False`` if there are too many."""
        self._transport = transport
        self.memory.transport = transport
        return self._bounds.conns.admit(self.slot)

    def resume(self) -> None:
        """Go on with bytes that were received before."""
        if not (self.slot.is_closing or self._transport.is_closing()):
            self._reader.parse()
            self.advance()

    def advance(self) -> None:
        """Start the next request, and read on if there is room."""
        self._proceed()
        self.memory.hold(self._reader.held)
        if self.slot.is_closing:
            return
        if self._reader.has_enough:
            self._transport.pause_reading()
        else:
            # After the last request what follows is discarded, so that a
            # caller that leaves is noticed.
            self._transport.resume_reading()
        if self._reader.awaits_turn:
            self._bounds.turns.wait(self, self._take_turn)

    def finish(self, now: float) -> None:
        """Record that a request was answered."""
        self.slot.has_served = True
        self.slot.idle_since = now
        self.memory.finish(self._reader.held)

    def refuse_incomplete(self) -> None:
        """Refuse the request that has been received in part."""
        is_incomplete = self._reader.incomplete_since is not None
        if is_incomplete and not self.slot.is_closing:
            _log.note('caller.incomplete_refused', held=self._reader.held)
            self._reader.end(_REFUSAL)
            self._proceed()

    def close(self) -> None:
        """Release the memory, and the references that callbacks hold."""
        self._bounds.conns.discard(self.slot)
        self._bounds.turns.discard(self)
        self.slot.release()
        self.memory.release()
        self._reader.end()
        self._reader.parser.release_all()
        self._proceed = _ignore

    def _drop(self) -> None:
        """Close at once to make room for other connections."""
        self.refuse_incomplete()
        self._transport.abort()

    def _take_turn(self) -> None:
        if self._reader.unparsed:
            self.resume()
        elif not self._transport.is_closing():
            self._transport.resume_reading()

    def _give_up(self) -> None:
        """Give memory back, but for that of a request in progress."""
        unsent = self._transport.get_write_buffer_size()
        if unsent and not self.memory.is_busy:
            _log.note('caller.unread_answer_dropped', unsent=unsent)
            self._transport.abort()
        else:
            self.refuse_incomplete()
        self.memory.hold(self._reader.held)


def _ignore() -> None:
    """Start nothing."""
