"""A fake transport to test protocols without a network."""

import asyncio


class FakeTransport(asyncio.Transport):
    """A transport that collects the data that a protocol writes."""

    def __init__(self) -> None:
        super().__init__()
        self.written = b''
        self.is_closed = False
        self.is_aborted = False
        self.is_paused = False
        self.is_eof_sent = False
        self.unsent = 0

    def write(self, data: bytes | bytearray | memoryview) -> None:
        self.written += bytes(data)

    def get_write_buffer_size(self) -> int:
        return self.unsent

    def close(self) -> None:
        self.is_closed = True

    def write_eof(self) -> None:
        self.is_eof_sent = True

    def abort(self) -> None:
        self.is_aborted = True

    def is_closing(self) -> bool:
        return self.is_closed or self.is_aborted

    def pause_reading(self) -> None:
        self.is_paused = True

    def resume_reading(self) -> None:
        self.is_paused = False


async def run_pending_tasks(turns: int = 10) -> None:
    """Let other tasks run for some turns of the event loop."""
    for _ in range(turns):
        await asyncio.sleep(0)
