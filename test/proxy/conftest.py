"""Fixtures of the tests of daemons on loopback."""

from collections import Counter
from collections.abc import Iterator

import pytest

from goldcrestwharf.proxy import _metrics, _stream
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


@pytest.fixture
def in_transit(monkeypatch: pytest.MonkeyPatch) -> Counter[str]:
    """Return the metric of bytes in transit, by direction."""
    counted: Counter[str] = Counter()

    def add(direction: str, size: int) -> None:
        counted[direction] += size

    monkeypatch.setattr(_metrics, 'add_in_transit', add)
    return counted
