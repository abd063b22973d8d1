"""Forward TCP connections and inject network faults into them."""

import asyncio
import contextlib
import enum
from functools import partial

from test.system.mesh import poll

_CHUNK = 65_536

#: Delay of each chunk in mode ``DELAY``.
_DELAY_S = 0.15


class FaultMode(enum.StrEnum):
    """How a proxy treats connections."""

    PASS = 'pass'
    DELAY = 'delay'
    BLOCK = 'block'
    BLOCK_UPSTREAM = 'block-upstream'
    BLOCK_DOWNSTREAM = 'block-downstream'
    RESET = 'reset'


class FaultProxy:
    """A TCP proxy in front of one address.

    ``BLOCK`` holds back all bytes, ``BLOCK_UPSTREAM`` those to the address
    and ``BLOCK_DOWNSTREAM`` those from it; connections stay open and neither
    end gets an error. ``RESET`` aborts connections.
    """

    def __init__(self, *, target: str = '') -> None:
        """Forward to ``target`` (``host:port``)."""
        self.address = ''
        self.target = target
        self.mode = FaultMode.PASS
        self._silenced: set[asyncio.StreamWriter] = set()
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

    def apply_mode(self, mode: FaultMode) -> None:
        """Apply ``mode`` to open and new connections."""
        self.mode = mode
        if mode is FaultMode.RESET:
            self._abort_all()

    def silence_open_connections(self) -> None:
        """Stop forwarding on open connections for good; new ones work."""
        self._silenced |= self._writers

    def _abort_all(self) -> None:
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if self.mode is FaultMode.RESET:
            writer.transport.abort()
            return
        host, _, port = self.target.rpartition(':')
        try:
            upstream = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        ends = {writer, upstream[1]}
        self._writers |= ends
        forwarders = [
            asyncio.create_task(
                self._forward(reader, upstream[1], FaultMode.BLOCK_UPSTREAM)
            ),
            asyncio.create_task(
                self._forward(upstream[0], writer, FaultMode.BLOCK_DOWNSTREAM)
            ),
        ]
        self._tasks.update(forwarders)
        try:
            # asyncio.run cancels open connections when it ends.
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.wait(
                    forwarders,
                    return_when=asyncio.FIRST_COMPLETED,
                )
        finally:
            self._close_connection(forwarders, ends)

    def _close_connection(
        self,
        forwarders: 'list[asyncio.Task[None]]',
        ends: set[asyncio.StreamWriter],
    ) -> None:
        for forwarder in forwarders:
            forwarder.cancel()
        self._tasks.difference_update(forwarders)
        self._writers -= ends
        self._silenced -= ends
        for end in ends:
            end.close()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        blocking_mode: FaultMode,
    ) -> None:
        with contextlib.suppress(OSError):
            while chunk := await reader.read(_CHUNK):
                await self._wait_while_blocked(writer, blocking_mode)
                writer.write(chunk)
                await writer.drain()

    async def _wait_while_blocked(
        self,
        writer: asyncio.StreamWriter,
        blocking_mode: FaultMode,
    ) -> None:
        if writer in self._silenced:
            await asyncio.Event().wait()
        if self.mode is FaultMode.DELAY:
            await asyncio.sleep(_DELAY_S)
        await poll(partial(self._is_passing, blocking_mode))

    async def _is_passing(self, blocking_mode: FaultMode) -> bool:
        return self.mode not in {FaultMode.BLOCK, blocking_mode}
