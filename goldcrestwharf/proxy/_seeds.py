"""Meet the mesh through the addresses of a few daemons."""

import asyncio
from collections.abc import Callable, Iterable

from goldcrestwharf.loglines import EventLog
from goldcrestwharf.proxy._dialing import dial
from goldcrestwharf.proxy._peer_messages import Hello
from goldcrestwharf.proxy._stream import MessageStream

_log = EventLog(__name__)

#: Seconds in which a seed answers; it may be down or stale.
_ANSWER_TIMEOUT_S = 1.0


async def ask_seeds(
    addresses: Iterable[str],
    *,
    hello: Hello,
    receive_hello: Callable[[Hello], None],
) -> None:
    """Introduce a daemon to its seeds and take in whom they know.

    Answers a start while the store can't be reached. ``addresses`` are those
    of the seeds' streams (``host:port``).
    """
    asking = (
        _Question(receive_hello=receive_hello).ask(address, hello)
        for address in addresses
    )
    await asyncio.gather(*asking)


class _Question:
    """Wait for the introduction of one seed."""

    def __init__(self, *, receive_hello: Callable[[Hello], None]) -> None:
        self._receive_hello = receive_hello
        self._over = asyncio.Event()

    async def ask(self, address: str, hello: Hello) -> None:
        """Send ``hello`` and wait for the seed's own."""
        stream = await dial(
            address,
            receive=self._receive,
            note_end=self._note_end,
        )
        if stream is None:
            return
        stream.send(hello)
        try:
            await asyncio.wait_for(self._over.wait(), _ANSWER_TIMEOUT_S)
        except TimeoutError:
            _log.note('seed.silent', address=address)
        finally:
            stream.close()

    def _receive(self, stream: MessageStream, message: object) -> None:
        if isinstance(message, Hello):
            self._receive_hello(message)
            self._over.set()

    def _note_end(self, stream: MessageStream) -> None:
        self._over.set()
