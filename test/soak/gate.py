"""Stand between two ends of TCP connections and harm them on request."""

import asyncio
import contextlib
import enum
from functools import partial

from test.system.mesh import poll

_CHUNK = 65_536

#: Seconds by which each chunk is held up in the mode that delays.
_DELAY_S = 0.15


class Mode(enum.StrEnum):
    """Name what a gate does to connections."""

    PASS = 'pass'
    DELAY = 'delay'
    SILENT = 'silent'
    DEAF = 'deaf'
    MUTE = 'mute'
    RESET = 'reset'


class Gate:
    """Forward connections to one address.

    ``SILENT`` holds back all bytes, ``DEAF`` those to the address and
    ``MUTE`` those from it; nobody is told. ``RESET`` breaks connections.
    """

    def __init__(self, *, target: str) -> None:
        """Forward to ``target`` (``host:port``)."""
        self.address = ''
        self.target = target
        self.mode = Mode.PASS
        self._stale: set[asyncio.StreamWriter] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def listen(self) -> None:
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f'{host}:{port}'

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
        self._abort_all()
        for task in self._tasks:
            task.cancel()

    def treat(self, mode: Mode) -> None:
        """Treat connections by ``mode`` from now on."""
        self.mode = mode
        if mode is Mode.RESET:
            self._abort_all()

    def silence_open(self) -> None:
        """Let open connections go silent for good; new ones work."""
        self._stale |= self._writers

    def _abort_all(self) -> None:
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if self.mode is Mode.RESET:
            writer.transport.abort()
            return
        host, _, port = self.target.rpartition(':')
        try:
            far = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        ends = {writer, far[1]}
        self._writers |= ends
        pumps = [
            asyncio.create_task(self._pump(reader, far[1], Mode.DEAF)),
            asyncio.create_task(self._pump(far[0], writer, Mode.MUTE)),
        ]
        self._tasks.update(pumps)
        try:
            # The loop's end cancels what still serves; that is no fault.
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.wait(
                    pumps,
                    return_when=asyncio.FIRST_COMPLETED,
                )
        finally:
            self._end(pumps, ends)

    def _end(
        self,
        pumps: 'list[asyncio.Task[None]]',
        ends: set[asyncio.StreamWriter],
    ) -> None:
        for pump in pumps:
            pump.cancel()
        self._tasks.difference_update(pumps)
        self._writers -= ends
        self._stale -= ends
        for end in ends:
            end.close()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        blocking: Mode,
    ) -> None:
        with contextlib.suppress(OSError):
            while chunk := await reader.read(_CHUNK):
                await self._hold(writer, blocking)
                writer.write(chunk)
                await writer.drain()

    async def _hold(
        self,
        writer: asyncio.StreamWriter,
        blocking: Mode,
    ) -> None:
        if writer in self._stale:
            await asyncio.Event().wait()
        if self.mode is Mode.DELAY:
            await asyncio.sleep(_DELAY_S)
        await poll(partial(self._lets_through, blocking))

    async def _lets_through(self, blocking: Mode) -> bool:
        return self.mode not in {Mode.SILENT, blocking}
