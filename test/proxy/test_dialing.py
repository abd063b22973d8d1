"""Test connecting to other daemons."""

import asyncio
from collections.abc import Callable

import pytest

from goldcrestwharf.proxy._dialing import dial
from goldcrestwharf.proxy._stream import MessageStream


def ignore(*_: object) -> None:
    """Take no notice of messages and of the end."""


async def test_cancelled_dial_ends_although_it_has_just_connected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The link that dials would never end, nor would a process that stops."""
    loop = asyncio.get_running_loop()
    dialing: list[asyncio.Task[MessageStream | None]] = []

    async def cancel_and_connect(
        make_stream: Callable[[], MessageStream], *_: object
    ) -> tuple[None, MessageStream]:
        loop.call_soon(dialing[0].cancel)
        await asyncio.sleep(0)
        return None, make_stream()

    monkeypatch.setattr(loop, 'create_connection', cancel_and_connect)
    dialing.append(
        loop.create_task(dial('127.0.0.1:9', receive=ignore, handle_end=ignore))
    )
    with pytest.raises(asyncio.CancelledError):
        await dialing[0]
