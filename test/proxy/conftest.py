"""Fixtures of the tests of daemons on loopback."""

from collections.abc import Iterator

import pytest

from goldcrestwharf.proxy import _stream
from goldcrestwharf.proxy._body_messages import (
    BodyAhead,
    BodyGrant,
    BodyPiece,
)
from goldcrestwharf.proxy._codec import pack
from goldcrestwharf.proxy._run_messages import Answered, Cancel, Run

_NUMBERED = (BodyAhead, BodyGrant, BodyPiece, Run, Answered, Cancel)


@pytest.fixture
def sent(monkeypatch: pytest.MonkeyPatch) -> Iterator[list[object]]:
    """Yield the messages that any daemon sends."""
    messages: list[object] = []

    def record(message: object) -> bytes:
        if isinstance(message, _NUMBERED):
            messages.append(message)
        return pack(message)

    monkeypatch.setattr(_stream, 'pack', record)
    yield messages
