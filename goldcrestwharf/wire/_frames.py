"""Split a byte stream into bounded frames.

A frame is a 4-byte big-endian length, a 1-byte kind, a 4-byte big-endian
channel and a payload; the length counts all that follows it. A large frame
is sent as the payloads of ``PART`` frames, one large frame at a time, so
that small frames can be sent between its parts.
"""

import enum
import struct

import anyio
import attrs
from anyio.abc import ByteReceiveStream

from goldcrestwharf.errors import WireFormatError

#: Enough for a full configuration snapshot or a whole request body.
MAX_FRAME_BYTES = 16_777_216

_HEADER = struct.Struct('>IBI')
_LENGTH_BYTES = 4
_MAX_READ_BYTES = 65_536
_KIND_AND_CHANNEL_BYTES = _HEADER.size - _LENGTH_BYTES


class FrameKind(enum.IntEnum):
    """Purpose of a frame."""

    SEND = 0
    CALL = 1
    REPLY = 2
    CANCEL = 3
    FAIL = 4
    PING = 5
    PONG = 6
    PART = 7


class PartMark(enum.IntEnum):
    """State of a large frame after a ``PART``, sent in its channel field."""

    MORE = 0
    LAST = 1
    ABORTED = 2


@attrs.frozen(kw_only=True)
class Frame:
    """One frame; ``channel`` matches a reply to its call."""

    kind: FrameKind
    channel: int = 0
    payload: bytes = b''


def pack_frame(frame: Frame) -> bytes:
    """Return the bytes of ``frame``.

    Raises :class:`WireFormatError` if it exceeds ``MAX_FRAME_BYTES``.
    """
    length = _KIND_AND_CHANNEL_BYTES + len(frame.payload)
    _check_length(length)
    header = _HEADER.pack(length, frame.kind, frame.channel)
    return header + frame.payload


class FrameReader:
    """Buffered reader of frames from a byte stream.

    The stream is read in large chunks, so that several small frames take
    one read. ``reads`` counts the reads that returned data.
    """

    def __init__(self, *, stream: ByteReceiveStream) -> None:
        """Read from ``stream``."""
        self.reads = 0
        self._stream = stream
        self._buffer = bytearray()
        self._start = 0
        self._part_joiner = _PartJoiner()

    async def read(self) -> Frame:
        """Return the next complete frame.

        Raises :class:`WireFormatError` for a frame that is too large or of
        an unknown kind, and ``anyio.EndOfStream`` or
        ``anyio.IncompleteRead`` at the end of the stream.
        """
        while True:
            frame = await self._read_one()
            if frame.kind is not FrameKind.PART:
                return frame
            joined = self._part_joiner.join(frame)
            if joined is not None:
                return joined

    async def _read_one(self) -> Frame:
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
            chunk = await self._receive()
            self.reads += 1
            if self._start:
                self._buffer = self._buffer[self._start :]
                self._start = 0
            self._buffer += chunk

    async def _receive(self) -> bytes:
        try:
            return await self._stream.receive(_MAX_READ_BYTES)
        except anyio.EndOfStream:
            if len(self._buffer) > self._start:
                raise anyio.IncompleteRead from None
            raise


class _PartJoiner:
    """Buffer that joins the parts of one large frame."""

    def __init__(self) -> None:
        self._joined = bytearray()

    def join(self, part: Frame) -> Frame | None:
        """Add a part; return the frame once it is complete."""
        self._joined += part.payload
        _check_length(max(len(self._joined), _HEADER.size) - _LENGTH_BYTES)
        if part.channel == PartMark.MORE:
            return None
        packed = bytes(self._joined)
        self._joined = bytearray()
        return None if part.channel == PartMark.ABORTED else _unpack(packed)


def _unpack(packed: bytes) -> Frame:
    if len(packed) < _HEADER.size:
        raise _make_part_error()
    length, kind, channel = _HEADER.unpack_from(packed)
    frame = Frame(
        kind=_parse_kind(kind),
        channel=channel,
        payload=packed[_HEADER.size :],
    )
    is_whole = length == len(packed) - _LENGTH_BYTES
    if not is_whole or frame.kind is FrameKind.PART:
        raise _make_part_error()
    return frame


def _make_part_error() -> WireFormatError:
    return WireFormatError(
        reason='the parts of a frame do not make up a frame',
        remedy='check that both daemons run releases of the same protocol',
    )


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
