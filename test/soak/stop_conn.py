"""A caller's connection on which any bytes can be sent and read."""

import asyncio

import attrs

_INTERIM = range(100, 200)


@attrs.frozen(kw_only=True)
class RawAnswer:
    """An answer that was read whole; names of headers are in lower case."""

    status: int
    head: dict[str, str]

    @property
    def closes(self) -> bool:
        """Return whether the connection ends after this answer."""
        return self.head.get('connection', '').lower() == 'close'


@attrs.frozen(kw_only=True, eq=False)
class RawConn:
    """An open connection."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def send(self, message: bytes) -> None:
        """Send bytes; raise OSError if the connection has ended."""
        self.writer.write(message)
        await self.writer.drain()

    async def read_answer(self) -> RawAnswer:
        """Read an answer with its whole body.

        Raises OSError or EOFError if the connection ends before.
        """
        answer = await self._read_head()
        while answer.status in _INTERIM:
            answer = await self._read_head()
        if answer.head.get('transfer-encoding', '').lower() == 'chunked':
            await self._read_chunks()
        else:
            length = int(answer.head.get('content-length', '0'))
            await self.reader.readexactly(length)
        return answer

    def close(self) -> None:
        self.writer.close()

    async def _read_head(self) -> RawAnswer:
        block = await self.reader.readuntil(b'\r\n\r\n')
        first, *lines = block.decode('latin-1').rstrip('\r\n').split('\r\n')
        fields = (line.partition(':') for line in lines)
        return RawAnswer(
            status=int(first.split()[1]),
            head={name.lower(): text.strip() for name, _, text in fields},
        )

    async def _read_chunks(self) -> None:
        while True:
            line = await self.reader.readline()
            if not line:
                raise EOFError('the connection ended within a chunked body')
            size = int(line.split(b';')[0], 16)
            if not size:
                break
            await self.reader.readexactly(size + 2)
        while await self.reader.readuntil(b'\n') != b'\r\n':
            """Skip a trailer."""


async def open_raw_conn(address: str, *, timeout: float) -> RawConn:
    """Connect within ``timeout`` seconds; raise OSError if it fails."""
    host, _, port = address.rpartition(':')
    async with asyncio.timeout(timeout):
        reader, writer = await asyncio.open_connection(host, int(port))
    return RawConn(reader=reader, writer=writer)
