"""Queue the frames that wait to be written on a stream.

A large frame is cut into parts, and small ones go between them, so that
they wait for one part at most.
"""

from collections import deque

import anyio

from goldcrestwharf.errors import NotSentError
from goldcrestwharf.peers._outgoing import Outgoing, take_part
from goldcrestwharf.wire import Frame, pack_frame

_BATCH_BYTES = 65_536


class Outbox:
    """Gather frames, so that those of one moment are written at once."""

    def __init__(self) -> None:
        """Start empty and open."""
        self._small: deque[Outgoing] = deque()
        self._large: deque[Outgoing] = deque()
        self._taken: list[Outgoing] = []
        self._filled = anyio.Event()
        self._is_closed = False

    def __bool__(self) -> bool:
        """Tell whether a frame waits or is being written."""
        return bool(self._small or self._large or self._taken)

    def post(self, frame: Frame) -> Outgoing:
        """Add a frame behind the others and return at once.

        Raises :class:`NotSentError` if the stream is closed and
        :class:`WireFormatError` if the frame is too large.
        """
        if self._is_closed:
            raise make_closed_error()
        outgoing = Outgoing(packed=pack_frame(frame))
        is_small = len(outgoing.packed) <= _BATCH_BYTES
        (self._small if is_small else self._large).append(outgoing)
        self._filled.set()
        return outgoing

    def withdraw(self, outgoing: Outgoing) -> bool:
        """Take a frame back; true means that the peer never acts on it."""
        if outgoing.is_taken:
            return False
        outgoing.packed = b''
        return True

    async def take(self) -> bytes:
        """Return the frames that wait, up to a bound, joined.

        Those that were taken before count as written.
        """
        _settle_written(self._taken)
        self._taken = []
        while not self._small and not self._large:
            self._filled = anyio.Event()
            await self._filled.wait()
        self._taken = _take_batch(self._small)
        parts = [outgoing.packed for outgoing in self._taken]
        if self._large:
            parts.append(take_part(self._large[0], _BATCH_BYTES))
            if self._large[0].is_taken:
                self._taken.append(self._large.popleft())
        return b''.join(parts)

    def close(self) -> None:
        """Settle all frames; those not written stay so."""
        self._is_closed = True
        for outgoing in (*self._taken, *self._small, *self._large):
            outgoing.settled.set()
        self._small.clear()
        self._large.clear()


def make_closed_error() -> NotSentError:
    """Return the error of a frame that was never written."""
    return NotSentError(
        reason='the stream to the peer is closed',
        remedy='send it again on a new stream',
    )


def _take_batch(waiting: deque[Outgoing]) -> list[Outgoing]:
    taken: list[Outgoing] = []
    size = 0
    while waiting and size < _BATCH_BYTES:
        outgoing = waiting.popleft()
        size += len(outgoing.packed)
        outgoing.is_taken = True
        taken.append(outgoing)
    return taken


def _settle_written(taken: list[Outgoing]) -> None:
    for outgoing in taken:
        outgoing.is_written = True
        outgoing.settled.set()
