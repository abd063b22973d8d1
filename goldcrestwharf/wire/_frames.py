"""Split a byte stream into bounded frames.

A frame is a 4-byte big-endian length, a 1-byte kind, a 4-byte big-endian
channel and a payload; the length counts all that follows it.
"""

import enum
import struct

import anyio
import attrs
from anyio.abc import ByteReceiveStream

from goldcrestwharf.errors import WireFormatError

#: A frame may hold a full snapshot or a whole body, and no more than this.
MAX_FRAME_BYTES = 16_777_216

_HEADER = struct.Struct('>IBI')
_LENGTH_BYTES = 4
_READ_BYTES = 65_536
_KIND_AND_CHANNEL_BYTES = _HEADER.size - _LENGTH_BYTES


class FrameKind(enum.IntEnum):
    """Tell what a frame's payload means."""

    SEND = 0
    CALL = 1
    REPLY = 2
    CANCEL = 3
    FAIL = 4
    PING = 5
    PONG = 6


@attrs.frozen(kw_only=True)
class Frame:
    """Hold one frame; ``channel`` pairs a reply with its call."""

    kind: FrameKind
    channel: int = 0
    payload: bytes = b''


def pack_frame(frame: Frame) -> bytes:
    """Return the bytes of ``frame``.

    Raises :class:`WireFormatError` if it is larger than a peer accepts.
    """
    length = _KIND_AND_CHANNEL_BYTES + len(frame.payload)
    _check_length(length)
    header = _HEADER.pack(length, frame.kind, frame.channel)
    return header + frame.payload


class FrameReader:
    """Read frames from a byte stream.

    The stream is read in large pieces, so that frames that come together
    cost one read.
    """

    def __init__(self, *, stream: ByteReceiveStream) -> None:
        """Read from ``stream``."""
        self._stream = stream
        self._buffer = bytearray()
        self._start = 0

    async def read(self) -> Frame:
        """Return the next frame.

        Raises :class:`WireFormatError` for a frame that is too large or of
        an unknown kind, and ``anyio.EndOfStream`` or
        ``anyio.IncompleteRead`` at the end of the stream.
        """
        await self._fill(_HEADER.size)
        length, kind, channel = _HEADER.unpack_from(self._buffer, self._start)
        _check_length(length)
        parsed_kind = _parse_kind(kind)
        return Frame(
            kind=parsed_kind,
            channel=channel,
            payload=await self._take_payload(length + _LENGTH_BYTES),
        )

    async def _take_payload(self, size: int) -> bytes:
        await self._fill(size)
        end = self._start + size
        payload = bytes(self._buffer[self._start + _HEADER.size : end])
        self._start = end
        return payload

    async def _fill(self, size: int) -> None:
        while len(self._buffer) - self._start < size:
            piece = await self._receive()
            if self._start:
                self._buffer = self._buffer[self._start :]
                self._start = 0
            self._buffer += piece

    async def _receive(self) -> bytes:
        try:
            return await self._stream.receive(_READ_BYTES)
        except anyio.EndOfStream:
            if len(self._buffer) > self._start:
                raise anyio.IncompleteRead from None
            raise


def _check_length(length: int) -> None:
    if _KIND_AND_CHANNEL_BYTES <= length <= MAX_FRAME_BYTES:
        return
    raise WireFormatError(
        reason=f'a frame of {length} bytes is out of bounds',
        remedy=f'keep frames under {MAX_FRAME_BYTES} bytes',
    )


def _parse_kind(kind: int) -> FrameKind:
    try:
        return FrameKind(kind)
    except ValueError as exc:
        raise WireFormatError(
            reason=f'unknown frame kind {kind}',
            remedy='finish the upgrade of the older daemon',
        ) from exc
