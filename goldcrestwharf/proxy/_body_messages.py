"""Messages that carry large bodies in pieces.

Each is sent only to a daemon whose hello says that it supports them.
"""

import attrs

from goldcrestwharf.proxy._codec import message

#: Message numbers; they must not change.
_BODY_AHEAD = 38
_BODY_GRANT = 39
_BODY_PIECE = 40


@message(_BODY_AHEAD)
@attrs.define(kw_only=True)
class BodyAhead:
    """Announcement that the body of the next message comes in pieces.

    The next message is a run or an answer with the same number. ``size`` is
    in bytes. ``send_ms`` is the time until the body has left, by the bodies
    that the sender has before it.
    """

    number: int
    size: int
    send_ms: int = 0


@message(_BODY_GRANT)
@attrs.define(kw_only=True)
class BodyGrant:
    """Permission to send a body up to ``offset``."""

    number: int
    offset: int


@message(_BODY_PIECE)
@attrs.define(kw_only=True)
class BodyPiece:
    """Piece of a body that begins at ``offset``."""

    number: int
    offset: int
    chunk: bytes


#: Messages about bodies.
BodyMessage = BodyAhead | BodyGrant | BodyPiece
