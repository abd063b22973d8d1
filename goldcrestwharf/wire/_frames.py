"""Split a byte stream into bounded frames.

A frame is a 4-byte big-endian length, a 1-byte kind, a 4-byte big-endian
channel and a payload; the length counts all that follows it.
"""

import enum
import struct

import attrs
from anyio.abc import ByteReceiveStream
from anyio.streams.buffered import BufferedByteReceiveStream

from goldcrestwharf.errors import WireFormatError

#: A frame may hold a full snapshot or a whole body, and no more than this.
MAX_FRAME_BYTES = 16_777_216

_HEADER = struct.Struct('>IBI')
_LENGTH_BYTES = 4
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
    """Read frames from a byte stream."""

    def __init__(self, *, stream: ByteReceiveStream) -> None:
        """Read from ``stream``."""
        self._buffered = BufferedByteReceiveStream(stream)

    async def read(self) -> Frame:
        """Return the next frame.

        Raises :class:`WireFormatError` for a frame that is too large or of
        an unknown kind, and ``anyio.EndOfStream`` or
        ``anyio.IncompleteRead`` at the end of the stream.
        """
        header = await self._buffered.receive_exactly(_HEADER.size)
        length, kind, channel = _HEADER.unpack(header)
        _check_length(length)
        return Frame(
            kind=_parse_kind(kind),
            channel=channel,
            payload=await self._read_payload(length),
        )

    async def _read_payload(self, length: int) -> bytes:
        size = length - _KIND_AND_CHANNEL_BYTES
        if size == 0:
            return b''
        return await self._buffered.receive_exactly(size)


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
