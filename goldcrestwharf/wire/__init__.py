"""Encode the typed messages that daemons exchange.

A package declares its messages as frozen attrs classes decorated with
:func:`message`; :func:`encode` converts them to ``msgpack`` bytes and
:func:`decode` converts them back and checks each field's type.
"""

from goldcrestwharf.wire._codec import decode, encode, message
from goldcrestwharf.wire._frames import (
    MAX_FRAME_BYTES,
    Frame,
    FrameKind,
    FrameReader,
    PartMark,
    pack_frame,
)
from goldcrestwharf.wire._traffic import TRAFFIC, Traffic

__all__ = (
    'MAX_FRAME_BYTES',
    'TRAFFIC',
    'Frame',
    'FrameKind',
    'FrameReader',
    'PartMark',
    'Traffic',
    'decode',
    'encode',
    'message',
    'pack_frame',
)
