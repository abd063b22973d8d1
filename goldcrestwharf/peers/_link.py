"""Write and read whole frames on one stream.

Any task may post a frame without waiting; one task writes them, so that a
frame is whole even if its sender is cancelled, and a blocked write delays
no sender beyond its deadline.
"""

import anyio
from anyio.abc import ByteStream

from goldcrestwharf.errors import OutcomeUnknownError
from goldcrestwharf.peers._outbox import Outbox, make_closed_error
from goldcrestwharf.timers import Timers
from goldcrestwharf.wire import Frame, FrameReader

#: Errors that anyio and the system raise once a stream has ended.
STREAM_END_ERRORS = (
    anyio.EndOfStream,
    anyio.IncompleteRead,
    anyio.ClosedResourceError,
    anyio.BrokenResourceError,
    OSError,
)


class Link:
    """Stream of frames that many tasks write to.

    ``outbox`` takes the frames to write; ``closed`` is set once the stream
    has ended for any reason.
    """

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
        self.outbox = Outbox()
        self._heard_at = timers.now()
        self._reads_seen = reader.reads

    async def write(self, frame: Frame) -> None:
        """Queue one frame and wait until it is written.

        Raises :class:`NotSentError` if no byte of it was written and
        :class:`OutcomeUnknownError` if the stream broke during the write.
        """
        outgoing = self.outbox.post(frame)
        await outgoing.finished.wait()
        if outgoing.is_written:
            return
        if outgoing.is_taken:
            raise OutcomeUnknownError(
                reason='the stream broke during a write',
                remedy='check at the peer whether it has acted on the message',
            )
        raise make_closed_error()

    async def write_all(self) -> None:
        """Write what is posted until the stream ends or breaks."""
        while not self.closed.is_set():
            batch = await self.outbox.take()
            try:
                await self._stream.send(batch)
            except STREAM_END_ERRORS:
                await self.close()

    async def read(self) -> Frame:
        """Return the next frame."""
        return await self._reader.read()

    def silent_for(self) -> float:
        """Return the seconds since something was received.

        A read counts from the first call of this method after it.
        """
        if self._reader.reads != self._reads_seen:
            self._reads_seen = self._reader.reads
            self._heard_at = self._timers.now()
        return self._timers.now() - self._heard_at

    async def close(self) -> None:
        """Close the stream; pending reads and writes fail at once."""
        self.closed.set()
        self.outbox.close()
        await anyio.aclose_forcefully(self._stream)
