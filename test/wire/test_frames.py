import struct

import anyio
import pytest
from anyio.abc import ByteReceiveStream

from goldcrestwharf.errors import WireFormatError
from goldcrestwharf.wire import (
    MAX_FRAME_BYTES,
    Frame,
    FrameKind,
    FrameReader,
    pack_frame,
)


class Bytes(ByteReceiveStream):
    """Yield the given bytes one at a time, then end."""

    def __init__(self, packed: bytes) -> None:
        self._left = packed

    async def receive(self, max_bytes: int = 1) -> bytes:
        if not self._left:
            raise anyio.EndOfStream
        first = self._left[:1]
        self._left = self._left[1:]
        return first

    async def aclose(self) -> None:
        self._left = b''


async def test_frames_are_read_back_from_single_bytes() -> None:
    frames = [
        Frame(kind=FrameKind.CALL, channel=2**32 - 1, payload=b'abc'),
        Frame(kind=FrameKind.PING),
    ]
    stream = Bytes(b''.join(pack_frame(frame) for frame in frames))
    reader = FrameReader(stream=stream)
    assert [await reader.read(), await reader.read()] == frames


@pytest.mark.parametrize(
    'head',
    [
        struct.pack('>IBI', 4, 0, 0),
        struct.pack('>IBI', 0, 0, 0),
        struct.pack('>IBI', MAX_FRAME_BYTES + 1, 0, 0),
        struct.pack('>IBI', 5, 99, 0),
    ],
)
async def test_frame_out_of_bounds_is_refused_unread(head: bytes) -> None:
    with pytest.raises(WireFormatError):
        await FrameReader(stream=Bytes(head)).read()


async def test_truncated_frame_is_no_frame() -> None:
    packed = pack_frame(Frame(kind=FrameKind.SEND, payload=b'abc'))
    with pytest.raises(anyio.IncompleteRead):
        await FrameReader(stream=Bytes(packed[:-1])).read()


def test_oversized_payload_is_not_packed() -> None:
    frame = Frame(kind=FrameKind.SEND, payload=bytes(MAX_FRAME_BYTES))
    with pytest.raises(WireFormatError):
        pack_frame(frame)
