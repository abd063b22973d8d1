"""Open streams to other daemons, and again after they end."""

import asyncio
import random
from collections.abc import Callable

from goldcrestwharf.proxy._stream import MessageStream

#: Seconds in which another daemon accepts a connection.
_CONNECT_TIMEOUT_S = 0.6

#: Bounds of the wait between two attempts to connect, in seconds.
_LEAST_BACKOFF_S = 0.05
_MOST_BACKOFF_S = 1.5

#: Doublings of the least wait that reach the most.
_MAX_DOUBLINGS = 5


async def dial(
    address: str,
    *,
    receive: Callable[[MessageStream, object], None],
    note_end: Callable[[MessageStream], None],
) -> MessageStream | None:
    """Return a new stream to ``host:port``, ``None`` if there is none."""
    host, _, port = address.rpartition(':')
    opening = asyncio.get_running_loop().create_connection(
        lambda: MessageStream(receive=receive, note_end=note_end),
        host,
        int(port),
    )
    try:
        return (await asyncio.wait_for(opening, _CONNECT_TIMEOUT_S))[1]
    except OSError:
        return None


class Redial:
    """Wait before another attempt, the longer the more have failed.

    The wait is drawn evenly up to its bound, so that the daemons of a mesh
    don't all come back to one at the same moment.
    """

    def __init__(self, *, rng: random.Random) -> None:
        """Draw waits from ``rng``."""
        self._rng = rng
        self._failures = 0
        self._ended = asyncio.Event()
        self._hurried = asyncio.Event()

    def note_success(self) -> None:
        """Forget the failures."""
        self._failures = 0

    def note_end(self) -> None:
        """Hear that the stream is over."""
        self._ended.set()

    def hurry(self) -> None:
        """End the wait: the other daemon has just shown that it lives."""
        self._hurried.set()

    async def stream_ended(self) -> None:
        """Wait until the stream is over."""
        await self._ended.wait()
        self._ended.clear()

    async def wait(self) -> None:
        """Wait for the next attempt."""
        doublings = min(self._failures, _MAX_DOUBLINGS)
        bound = min(_LEAST_BACKOFF_S * 2**doublings, _MOST_BACKOFF_S)
        self._failures += 1
        self._hurried.clear()
        try:
            async with asyncio.timeout(bound * self._rng.random()):
                await self._hurried.wait()
        except TimeoutError:
            return
