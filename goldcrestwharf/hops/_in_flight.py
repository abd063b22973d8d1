"""Count requests in progress and wait until they have ended."""

from collections.abc import Iterator
from contextlib import contextmanager

import anyio


class InFlight:
    """Number of requests in progress, with support for draining.

    ``is_draining`` is set as soon as new requests have to be refused.
    """

    def __init__(self) -> None:
        """Start without requests."""
        self.is_draining = False
        self.total = 0
        self._empty = anyio.Event()

    @contextmanager
    def count(self) -> Iterator[None]:
        """Count the enclosed block as a request in progress."""
        self.total += 1
        try:
            yield
        finally:
            self.total -= 1
            self._check_empty()

    async def drain(self) -> None:
        """Set ``is_draining`` and wait for the requests in progress."""
        self.is_draining = True
        self._check_empty()
        await self._empty.wait()

    def _check_empty(self) -> None:
        if self.is_draining and self.total == 0:
            self._empty.set()
