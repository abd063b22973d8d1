"""Opening of the streams to one other daemon."""

import asyncio
from collections.abc import Callable

from goldcrestwharf.discovery import DaemonRecord
from goldcrestwharf.proxy._dialing import ReconnectBackoff, dial
from goldcrestwharf.proxy._peer_messages import Hello
from goldcrestwharf.proxy._stream import MessageStream


class StreamOpener:
    """Opener of a daemon's streams; one is opened at a time.

    ``opening`` is the latest stream, on which the other daemon may not have
    introduced itself yet. ``backoff`` is that between two attempts.
    """

    def __init__(
        self,
        *,
        record: DaemonRecord,
        backoff: ReconnectBackoff,
        make_hello: Callable[[], Hello],
        receive: Callable[[MessageStream, object], None],
        handle_end: Callable[[MessageStream], None],
    ) -> None:
        """Open streams to the daemon of ``record``."""
        self.record = record
        self.backoff = backoff
        self.opening: MessageStream | None = None
        self._make_hello = make_hello
        self._receive = receive
        self._handle_end = handle_end
        self._reopening: asyncio.Task[bool] | None = None

    async def open(self) -> bool:
        """Connect and introduce this daemon; return whether it worked."""
        stream = await dial(
            self.record.address,
            receive=self._receive,
            handle_end=self._handle_end,
        )
        if stream is None or not stream.is_open:
            return False
        self.opening = stream
        stream.send(self._make_hello())
        return True

    def reopen(self) -> bool:
        """Open another stream in the background; return whether it began.

        It replaces one that may be silent for good once the other daemon has
        introduced itself. Attempts on the way are inquired then.
        """
        if self._reopening is not None and not self._reopening.done():
            return False
        self._reopening = asyncio.get_running_loop().create_task(self.open())
        return True

    def close(self) -> None:
        """Close what is being opened."""
        if self._reopening is not None:
            self._reopening.cancel()
        if self.opening is not None:
            self.opening.close()
