"""Track a frame until it is written."""

import anyio
import attrs

from goldcrestwharf.wire import Frame, FrameKind, PartMark, pack_frame


@attrs.define(kw_only=True, eq=False)
class OutgoingFrame:
    """Packed frame that waits for the writer of its stream.

    ``packed`` is emptied if its sender withdraws it. ``is_taken`` is true
    once the peer may act on it, because its last byte may have been
    written, and ``is_written`` once all bytes have been. ``written_bytes``
    counts those sent in parts. ``finished`` is set when the frame was
    written or the stream has ended.
    """

    packed: bytes
    written_bytes: int = 0
    is_taken: bool = False
    is_written: bool = False
    finished: anyio.Event = attrs.field(factory=anyio.Event)


def take_part(outgoing: OutgoingFrame, size: int) -> bytes:
    """Return the next part, up to ``size`` bytes, packed as a frame.

    A frame that was withdrawn between parts is aborted.
    """
    start = outgoing.written_bytes
    end = start + size
    outgoing.written_bytes = end
    mark = PartMark.LAST if outgoing.packed else PartMark.ABORTED
    if end < len(outgoing.packed):
        mark = PartMark.MORE
    outgoing.is_taken = mark is not PartMark.MORE
    piece = outgoing.packed[start:end]
    part = Frame(kind=FrameKind.PART, channel=mark, payload=piece)
    return pack_frame(part)
