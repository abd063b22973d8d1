"""Encode the typed messages that daemons exchange.

A package declares its messages as frozen attrs classes under
:func:`message`; :func:`encode` and :func:`decode` turn them into bounded
``msgpack`` bytes and back, checking each field's type.
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
