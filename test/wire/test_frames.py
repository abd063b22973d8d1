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


class SingleByteStream(ByteReceiveStream):
    """Stream that yields the given bytes one at a time, then ends."""

    def __init__(self, packed: bytes) -> None:
        self._remaining = packed

    async def receive(self, max_bytes: int = 1) -> bytes:
        if not self._remaining:
            raise anyio.EndOfStream
        first = self._remaining[:1]
        self._remaining = self._remaining[1:]
        return first

    async def aclose(self) -> None:
        self._remaining = b''


async def test_frames_are_read_back_from_single_bytes() -> None:
    frames = [
        Frame(kind=FrameKind.CALL, channel=2**32 - 1, payload=b'abc'),
        Frame(kind=FrameKind.PING),
    ]
    stream = SingleByteStream(b''.join(pack_frame(frame) for frame in frames))
    reader = FrameReader(stream=stream)
    assert [await reader.read(), await reader.read()] == frames


@pytest.mark.parametrize(
    'header',
    [
        struct.pack('>IBI', 4, 0, 0),
        struct.pack('>IBI', 0, 0, 0),
        struct.pack('>IBI', MAX_FRAME_BYTES + 1, 0, 0),
        struct.pack('>IBI', 5, 99, 0),
    ],
)
async def test_frame_with_an_invalid_header_is_refused_unread(
    header: bytes,
) -> None:
    with pytest.raises(WireFormatError):
        await FrameReader(stream=SingleByteStream(header)).read()


async def test_truncated_frame_raises_incomplete_read() -> None:
    packed = pack_frame(Frame(kind=FrameKind.SEND, payload=b'abc'))
    with pytest.raises(anyio.IncompleteRead):
        await FrameReader(stream=SingleByteStream(packed[:-1])).read()


def test_oversized_payload_is_not_packed() -> None:
    frame = Frame(kind=FrameKind.SEND, payload=bytes(MAX_FRAME_BYTES))
    with pytest.raises(WireFormatError):
        pack_frame(frame)


PING = Frame(kind=FrameKind.PING)


def pack_part(chunk: bytes, mark: PartMark) -> bytes:
    part = Frame(kind=FrameKind.PART, channel=mark, payload=chunk)
    return pack_frame(part)


async def test_small_frame_is_read_between_the_parts_of_a_large_one() -> None:
    large = Frame(kind=FrameKind.CALL, channel=3, payload=b'abcdef')
    packed = pack_frame(large)
    chunks = (
        pack_part(packed[:7], PartMark.MORE),
        pack_frame(PING),
        pack_part(packed[7:], PartMark.LAST),
    )
    reader = FrameReader(stream=SingleByteStream(b''.join(chunks)))
    assert [await reader.read(), await reader.read()] == [PING, large]


async def test_aborted_frame_is_discarded() -> None:
    large = Frame(kind=FrameKind.CALL, channel=3, payload=b'abcdef')
    chunks = (
        pack_part(pack_frame(large)[:9], PartMark.MORE),
        pack_part(b'', PartMark.ABORTED),
        pack_part(pack_frame(large), PartMark.LAST),
        pack_frame(PING),
    )
    reader = FrameReader(stream=SingleByteStream(b''.join(chunks)))
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
async def test_parts_that_do_not_form_a_frame_are_refused(
    packed: bytes,
) -> None:
    stream = SingleByteStream(pack_part(packed, PartMark.LAST))
    with pytest.raises(WireFormatError):
        await FrameReader(stream=stream).read()


async def test_parts_over_max_frame_bytes_are_refused() -> None:
    part = pack_part(bytes(MAX_FRAME_BYTES // 2), PartMark.MORE)
    stream = ChunkStream([part, part, part])
    with pytest.raises(WireFormatError):
        await FrameReader(stream=stream).read()


class ChunkStream(SingleByteStream):
    """Stream that yields the given chunks whole."""

    def __init__(self, chunks: list[bytes]) -> None:
        self._chunks = chunks

    async def receive(self, max_bytes: int = 1) -> bytes:
        if not self._chunks:
            raise anyio.EndOfStream
        return self._chunks.pop(0)
