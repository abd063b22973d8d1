"""Write and read whole frames on one stream."""

import anyio
from anyio.abc import ByteStream

from goldcrestwharf.errors import NotSentError, OutcomeUnknownError
from goldcrestwharf.timers import Timers
from goldcrestwharf.wire import Frame, FrameReader, pack_frame

#: What anyio and the system raise once a stream has ended.
STREAM_ENDS = (
    anyio.EndOfStream,
    anyio.IncompleteRead,
    anyio.ClosedResourceError,
    anyio.BrokenResourceError,
    OSError,
)


class Link:
    """Keep frames whole on a stream that many tasks write to."""

    def __init__(
        self,
        *,
        stream: ByteStream,
        reader: FrameReader,
        timers: Timers,
    ) -> None:
        """Use ``stream`` for writing and ``reader`` for reading."""
        self.closed = anyio.Event()
        self._stream = stream
        self._reader = reader
        self._timers = timers
        self._lock = anyio.Lock()
        self._heard_at = timers.now()

    async def write(self, frame: Frame) -> None:
        """Write one frame, whole even if the calling task is cancelled.

        Raises :class:`NotSentError` if the stream was closed before the
        first byte and :class:`OutcomeUnknownError` if it broke later.
        """
        packed = pack_frame(frame)
        with anyio.CancelScope(shield=True):
            async with self._lock:
                await self._write_packed(packed)

    async def read(self) -> Frame:
        """Return the next frame and note that the peer is alive."""
        frame = await self._reader.read()
        self._heard_at = self._timers.now()
        return frame

    def is_writing(self) -> bool:
        """Tell whether a write is under way or waiting."""
        return self._lock.locked()

    def silence(self) -> float:
        """Return the seconds since the last frame was read."""
        return self._timers.now() - self._heard_at

    async def close(self) -> None:
        """Close the stream; pending reads and writes fail at once."""
        self.closed.set()
        await anyio.aclose_forcefully(self._stream)

    async def _write_packed(self, packed: bytes) -> None:
        if self.closed.is_set():
            raise NotSentError(
                reason='the stream to the peer is closed',
                remedy='send it again on a new stream',
            )
        try:
            await self._stream.send(packed)
        except STREAM_ENDS as exc:
            self.closed.set()
            raise OutcomeUnknownError(
                reason=f'the stream broke during a write: {exc}',
                remedy='ask the peer what it has done',
            ) from exc
