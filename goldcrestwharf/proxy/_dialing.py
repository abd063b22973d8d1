"""Connecting and reconnecting of streams to other daemons."""

import asyncio
import random
from collections.abc import Callable

from goldcrestwharf.discovery import is_address
from goldcrestwharf.proxy._stream import MessageStream

#: Timeout of a connection attempt, in seconds.
_CONNECT_TIMEOUT_S = 0.6

#: Bounds of the backoff between two connection attempts, in seconds.
_MIN_BACKOFF_S = 0.05
_MAX_BACKOFF_S = 1.5

#: Number of doublings after which the backoff reaches its maximum.
_MAX_DOUBLINGS = 5


async def dial(
    address: str,
    *,
    receive: Callable[[MessageStream, object], None],
    handle_end: Callable[[MessageStream], None],
) -> MessageStream | None:
    """Connect to ``host:port``; return ``None`` on failure."""
    if not is_address(address):
        return None
    host, _, port = address.rpartition(':')
    opening = asyncio.get_running_loop().create_connection(
        lambda: MessageStream(receive=receive, handle_end=handle_end),
        host,
        int(port),
    )
    try:
        # asyncio.wait_for ignores a cancellation that meets its end.
        async with asyncio.timeout(_CONNECT_TIMEOUT_S):
            return (await opening)[1]
    except (OSError, UnicodeError):
        # Names that can't be looked up raise the latter.
        return None


class ReconnectBackoff:
    """Exponential backoff with full jitter between connection attempts.

    The jitter keeps the daemons of a mesh from reconnecting to one of them
    all at the same time.
    """

    def __init__(self, *, rng: random.Random) -> None:
        """Draw the jitter from ``rng``."""
        self._rng = rng
        self._failures = 0
        self._ended = asyncio.Event()
        self._skipped = asyncio.Event()

    def reset(self) -> None:
        """Reset the backoff."""
        self._failures = 0

    def handle_end(self) -> None:
        """Signal that the stream has ended."""
        self._ended.set()

    def skip_wait(self) -> None:
        """Skip the rest of the backoff, as the other daemon was seen alive."""
        self._skipped.set()

    async def wait_for_end(self) -> None:
        """Wait until the stream has ended."""
        await self._ended.wait()
        self._ended.clear()

    async def wait(self) -> None:
        """Wait for the backoff before the next attempt."""
        doublings = min(self._failures, _MAX_DOUBLINGS)
        bound = min(_MIN_BACKOFF_S * 2**doublings, _MAX_BACKOFF_S)
        self._failures += 1
        self._skipped.clear()
        try:
            async with asyncio.timeout(bound * self._rng.random()):
                await self._skipped.wait()
        except TimeoutError:
            return
