"""Connections between daemons that can be cut or fall silent."""

import asyncio
import contextlib
import re
from collections.abc import Callable, Coroutine

import attrs

from test.soak.fault_proxy import FaultProxy
from test.system.mesh import poll

_CHUNK = 65_536
_NAME = re.compile(rb'vm-\d\d')

Cut = Callable[[str, str], bool]


@attrs.define(kw_only=True, eq=False)
class Links:
    """State of the links between all daemons.

    A cut returns whether it affects the link between two daemons. A
    connection that is silent stays so; new ones work.
    """

    cuts: list[Cut] = attrs.field(factory=list)
    _open: set['LinkConn'] = attrs.field(factory=set)

    def is_cut(self, conn: 'LinkConn') -> bool:
        return any(cut(*conn.ends) for cut in tuple(self.cuts))

    def silence(self, cut: Cut) -> None:
        """Let the open connections that ``cut`` affects fall silent."""
        for conn in self._open:
            conn.is_silent |= cut(*conn.ends)

    def add(self, conn: 'LinkConn') -> None:
        self._open.add(conn)

    def remove(self, conn: 'LinkConn') -> None:
        self._open.discard(conn)


@attrs.define(kw_only=True, eq=False)
class LinkConn:
    """A connection between two daemons."""

    links: Links
    ends: tuple[str, str]
    is_silent: bool = False

    async def forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward what is read until the connection ends."""
        with contextlib.suppress(OSError):
            while chunk := await reader.read(_CHUNK):
                await self.write(writer, chunk)

    async def write(self, writer: asyncio.StreamWriter, chunk: bytes) -> None:
        """Forward a chunk; wait while the link is cut."""
        await poll(self._is_passing)
        writer.write(chunk)
        await writer.drain()

    async def _is_passing(self) -> bool:
        return not (self.is_silent or self.links.is_cut(self))


class LinkProxy(FaultProxy):
    """A proxy in front of the address at which a daemon meets others."""

    def __init__(self, *, name: str, target: str, links: Links) -> None:
        """Forward to the daemon ``name`` at ``target``."""
        super().__init__(target=target)
        self._name = name
        self._links = links

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, asyncio.CancelledError):
            await self._forward_link(reader, writer)
        writer.close()

    async def _forward_link(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        # The daemon that connects introduces itself first.
        hello = await reader.read(_CHUNK)
        found = _NAME.search(hello)
        if found is not None:
            conn = LinkConn(
                links=self._links,
                ends=(found.group().decode(), self._name),
            )
            await self._forward_both(conn, hello, reader, writer)

    async def _forward_both(
        self,
        conn: LinkConn,
        hello: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        host, _, port = self.target.rpartition(':')
        upstream = await asyncio.open_connection(host, int(port))
        upstream[1].write(hello)
        self._links.add(conn)
        try:
            await self._run(
                conn.forward(reader, upstream[1]),
                conn.forward(upstream[0], writer),
            )
        finally:
            self._links.remove(conn)
            upstream[1].close()

    async def _run(self, *forwarding: Coroutine[None, None, None]) -> None:
        tasks = [asyncio.create_task(each) for each in forwarding]
        self._tasks.update(tasks)
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            self._tasks.difference_update(tasks)
