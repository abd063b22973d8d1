"""Protocol of a connection whose other end may not read."""

import asyncio
from collections.abc import Callable


class PacedProtocol(asyncio.Protocol):
    """Protocol that knows whether written bytes wait for the other end.

    ``is_write_paused`` is set while more wait than the transport wants to
    buffer.
    """

    def __init__(self, *, handle_resumed: Callable[[], None]) -> None:
        """Call ``handle_resumed`` when the other end has read enough."""
        self.is_write_paused = False
        self._handle_resumed = handle_resumed

    def pause_writing(self) -> None:
        """Note that the other end doesn't read."""
        self.is_write_paused = True

    def resume_writing(self) -> None:
        """Note that the other end has read."""
        self.is_write_paused = False
        self._handle_resumed()
