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
    PartMark,
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


PING = Frame(kind=FrameKind.PING)


def pack_part(piece: bytes, mark: PartMark) -> bytes:
    part = Frame(kind=FrameKind.PART, channel=mark, payload=piece)
    return pack_frame(part)


async def test_small_frames_go_between_the_parts_of_a_large_one() -> None:
    large = Frame(kind=FrameKind.CALL, channel=3, payload=b'abcdef')
    packed = pack_frame(large)
    pieces = (
        pack_part(packed[:7], PartMark.MORE),
        pack_frame(PING),
        pack_part(packed[7:], PartMark.LAST),
    )
    reader = FrameReader(stream=Bytes(b''.join(pieces)))
    assert [await reader.read(), await reader.read()] == [PING, large]


async def test_aborted_frame_leaves_no_trace() -> None:
    large = Frame(kind=FrameKind.CALL, channel=3, payload=b'abcdef')
    pieces = (
        pack_part(pack_frame(large)[:9], PartMark.MORE),
        pack_part(b'', PartMark.ABORTED),
        pack_part(pack_frame(large), PartMark.LAST),
        pack_frame(PING),
    )
    reader = FrameReader(stream=Bytes(b''.join(pieces)))
    assert [await reader.read(), await reader.read()] == [large, PING]


@pytest.mark.parametrize(
    'packed',
    [
        pytest.param(b'', id='nothing'),
        pytest.param(pack_frame(PING)[:-1], id='less than a frame'),
        pytest.param(b'%bx' % pack_frame(PING), id='more than a frame'),
        pytest.param(pack_part(b'', PartMark.LAST), id='a part'),
    ],
)
async def test_parts_that_make_up_no_frame_are_refused(packed: bytes) -> None:
    stream = Bytes(pack_part(packed, PartMark.LAST))
    with pytest.raises(WireFormatError):
        await FrameReader(stream=stream).read()


async def test_parts_are_bounded_together() -> None:
    part = pack_part(bytes(MAX_FRAME_BYTES // 2), PartMark.MORE)
    stream = Pieces([part, part, part])
    with pytest.raises(WireFormatError):
        await FrameReader(stream=stream).read()


class Pieces(Bytes):
    """Yield whole pieces."""

    def __init__(self, pieces: list[bytes]) -> None:
        self._pieces = pieces

    async def receive(self, max_bytes: int = 1) -> bytes:
        if not self._pieces:
            raise anyio.EndOfStream
        return self._pieces.pop(0)
