"""Protocol of a connection whose other end may not read, or send too much."""

import asyncio
from collections.abc import Callable

#: Most bytes of one read.
MAX_READ_BYTES = 65_536

#: Buffer of all connections: each read is handled before the next one begins.
_read_buffer = memoryview(bytearray(MAX_READ_BYTES))


class PacedProtocol(asyncio.BufferedProtocol):
    """Protocol that reads little at a time, and writes when it is read.

    ``is_write_paused`` is set while more bytes wait for the other end than the
    transport wants to buffer.
    """

    def __init__(
        self,
        *,
        handle_resumed: Callable[[], None],
        find_read_size: Callable[[], int],
    ) -> None:
        """Call ``handle_resumed`` when the other end has read enough.

        ``find_read_size`` returns the most bytes of the next read.
        """
        self.is_write_paused = False
        self._handle_resumed = handle_resumed
        self._find_read_size = find_read_size

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        return _read_buffer[: self._find_read_size()]

    def buffer_updated(self, nbytes: int) -> None:
        """Handle the bytes in the buffer."""
        self.data_received(bytes(_read_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Handle received bytes."""
        raise NotImplementedError

    def connection_lost(self, exc: Exception | None) -> None:
        """Call nothing any more, and hold no reference to it."""
        self._handle_resumed = _ignore
        self._find_read_size = _find_max_read_size

    def pause_writing(self) -> None:
        """Note that the other end doesn't read."""
        self.is_write_paused = True

    def resume_writing(self) -> None:
        """Note that the other end has read."""
        self.is_write_paused = False
        self._handle_resumed()


def _ignore() -> None:
    """Handle nothing."""


def _find_max_read_size() -> int:
    return MAX_READ_BYTES
