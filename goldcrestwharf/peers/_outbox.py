"""Queue the frames that wait to be written on a stream.

A large frame is split into parts, and small ones are sent between them, so
that they wait for one part at most.
"""

from collections import deque

import anyio

from goldcrestwharf.errors import NotSentError
from goldcrestwharf.peers._outgoing_frame import OutgoingFrame, take_part
from goldcrestwharf.wire import Frame, pack_frame

_MAX_BATCH_BYTES = 65_536


class Outbox:
    """Queue of frames, which are written in batches."""

    def __init__(self) -> None:
        """Start empty and open."""
        self._small: deque[OutgoingFrame] = deque()
        self._large: deque[OutgoingFrame] = deque()
        self._taken: list[OutgoingFrame] = []
        self._filled = anyio.Event()
        self._is_closed = False

    def __bool__(self) -> bool:
        """Return whether a frame waits or is being written."""
        return bool(self._small or self._large or self._taken)

    def post(self, frame: Frame) -> OutgoingFrame:
        """Queue a frame and return at once.

        Raises :class:`NotSentError` if the stream is closed and
        :class:`WireFormatError` if the frame is too large.
        """
        if self._is_closed:
            raise make_closed_error()
        outgoing = OutgoingFrame(packed=pack_frame(frame))
        is_small = len(outgoing.packed) <= _MAX_BATCH_BYTES
        (self._small if is_small else self._large).append(outgoing)
        self._filled.set()
        return outgoing

    def withdraw(self, outgoing: OutgoingFrame) -> bool:
        """Withdraw a frame; true means that the peer never acts on it."""
        if outgoing.is_taken:
            return False
        outgoing.packed = b''
        return True

    async def take(self) -> bytes:
        """Return the next batch of frames, joined; wait for one if needed.

        The previous batch counts as written.
        """
        _mark_written(self._taken)
        self._taken = []
        while not self._small and not self._large:
            self._filled = anyio.Event()
            await self._filled.wait()
        self._taken = _take_batch(self._small)
        parts = [outgoing.packed for outgoing in self._taken]
        if self._large:
            parts.append(take_part(self._large[0], _MAX_BATCH_BYTES))
            if self._large[0].is_taken:
                self._taken.append(self._large.popleft())
        return b''.join(parts)

    def close(self) -> None:
        """Finish all frames without writing them and refuse further ones."""
        self._is_closed = True
        for outgoing in (*self._taken, *self._small, *self._large):
            outgoing.finished.set()
        self._small.clear()
        self._large.clear()


def make_closed_error() -> NotSentError:
    """Return the error of a frame that was never written."""
    return NotSentError(
        reason='the stream to the peer is closed',
        remedy='send it again on a new stream',
    )


def _take_batch(waiting: deque[OutgoingFrame]) -> list[OutgoingFrame]:
    taken: list[OutgoingFrame] = []
    size = 0
    while waiting and size < _MAX_BATCH_BYTES:
        outgoing = waiting.popleft()
        size += len(outgoing.packed)
        outgoing.is_taken = True
        taken.append(outgoing)
    return taken


def _mark_written(taken: list[OutgoingFrame]) -> None:
    for outgoing in taken:
        outgoing.is_written = True
        outgoing.finished.set()
