"""Queue the frames that wait to be written on a stream."""

from collections import deque

import anyio
import attrs

from goldcrestwharf.errors import NotSentError
from goldcrestwharf.wire import Frame, pack_frame

_BATCH_BYTES = 65_536


@attrs.define(kw_only=True, eq=False)
class Outgoing:
    """Hold one packed frame on its way to the stream.

    ``packed`` is emptied if its sender wants it no more. ``is_taken`` is
    true once any byte of it may have been written and ``is_written`` once
    all have been. ``settled`` is set when nothing more will happen.
    """

    packed: bytes
    is_taken: bool = False
    is_written: bool = False
    settled: anyio.Event = attrs.field(factory=anyio.Event)


class Outbox:
    """Gather frames, so that those of one moment are written at once."""

    def __init__(self) -> None:
        """Start empty and open."""
        self._waiting: deque[Outgoing] = deque()
        self._taken: list[Outgoing] = []
        self._filled = anyio.Event()
        self._is_closed = False

    def __bool__(self) -> bool:
        """Tell whether a frame waits or is being written."""
        return bool(self._waiting or self._taken)

    def post(self, frame: Frame) -> Outgoing:
        """Add a frame behind the others and return at once.

        Raises :class:`NotSentError` if the stream is closed and
        :class:`WireFormatError` if the frame is too large.
        """
        if self._is_closed:
            raise make_closed_error()
        outgoing = Outgoing(packed=pack_frame(frame))
        self._waiting.append(outgoing)
        self._filled.set()
        return outgoing

    def withdraw(self, outgoing: Outgoing) -> bool:
        """Take a frame back; true means that no byte of it was written."""
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
        while not self._waiting:
            self._filled = anyio.Event()
            await self._filled.wait()
        self._taken = _take_batch(self._waiting)
        return b''.join(outgoing.packed for outgoing in self._taken)

    def close(self) -> None:
        """Settle all frames; those not written stay so."""
        self._is_closed = True
        for outgoing in (*self._taken, *self._waiting):
            outgoing.settled.set()
        self._waiting.clear()


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
