"""Count requests in progress and wait for the last one."""

from collections.abc import Iterator
from contextlib import contextmanager

import anyio


class InFlight:
    """Count requests; once draining, tell when the last one is done.

    ``is_draining`` is true from the moment that new ones are refused.
    """

    def __init__(self) -> None:
        """Start with none."""
        self.is_draining = False
        self.total = 0
        self._empty = anyio.Event()

    @contextmanager
    def count(self) -> Iterator[None]:
        """Count the enclosed block as one request in progress."""
        self.total += 1
        try:
            yield
        finally:
            self.total -= 1
            self._check_empty()

    async def drain(self) -> None:
        """Refuse new requests and wait for those in progress."""
        self.is_draining = True
        self._check_empty()
        await self._empty.wait()

    def _check_empty(self) -> None:
        if self.is_draining and self.total == 0:
            self._empty.set()
