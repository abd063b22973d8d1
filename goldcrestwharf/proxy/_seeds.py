"""Joining of the mesh through seed addresses."""

import asyncio
from collections.abc import Callable, Iterable

from goldcrestwharf.loglines import EventLog
from goldcrestwharf.proxy._dialing import dial
from goldcrestwharf.proxy._peer_messages import Hello
from goldcrestwharf.proxy._stream import MessageStream

_log = EventLog(__name__)

#: Timeout of a seed's hello once connected, in seconds; what listens at the
#: address may not answer hellos.
_ANSWER_TIMEOUT_S = 1.0


async def query_seeds(
    addresses: Iterable[str],
    *,
    hello: Hello,
    receive_hello: Callable[[Hello], None],
) -> None:
    """Send ``hello`` to the seeds and pass theirs to ``receive_hello``.

    Used at the start, since the store may be unreachable. ``addresses`` are
    the peer addresses of the seeds (``host:port``).
    """
    queries = (
        _SeedQuery(receive_hello=receive_hello).query(address, hello)
        for address in addresses
    )
    await asyncio.gather(*queries)


class _SeedQuery:
    """Exchange of hellos with one seed."""

    def __init__(self, *, receive_hello: Callable[[Hello], None]) -> None:
        self._receive_hello = receive_hello
        self._is_done = asyncio.Event()

    async def query(self, address: str, hello: Hello) -> None:
        """Send ``hello`` and wait for the seed's hello."""
        stream = await dial(
            address,
            receive=self._receive,
            handle_end=self._handle_end,
        )
        if stream is None:
            return
        stream.send(hello)
        try:
            async with asyncio.timeout(_ANSWER_TIMEOUT_S):
                await self._is_done.wait()
        except TimeoutError:
            _log.note('seed.silent', address=address)
        finally:
            stream.close()

    def _receive(self, stream: MessageStream, message: object) -> None:
        if isinstance(message, Hello):
            self._receive_hello(message)
            self._is_done.set()

    def _handle_end(self, stream: MessageStream) -> None:
        self._is_done.set()
