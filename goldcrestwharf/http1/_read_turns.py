"""Share the event loop among connections whose requests take long to parse."""

import asyncio
from collections.abc import Callable

#: Connections that may go on in one turn of the event loop.
_TURNS_AT_ONCE = 4


class ReadTurns:
    """Queue of connections that wait for a turn of the event loop.

    Connections with ordinary requests don't wait here, and other tasks run
    between two turns, however many connections are ready.
    """

    def __init__(self) -> None:
        """Begin with an empty queue."""
        self._waiting: dict[object, Callable[[], None]] = {}
        self._is_scheduled = False

    def wait(self, conn: object, proceed: Callable[[], None]) -> None:
        """Call ``proceed`` when it is the turn of ``conn``."""
        self._waiting.setdefault(conn, proceed)
        self._schedule()

    def discard(self, conn: object) -> None:
        """Forget a connection that has ended."""
        self._waiting.pop(conn, None)

    def _schedule(self) -> None:
        if self._waiting and not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._run)

    def _run(self) -> None:
        self._is_scheduled = False
        # Those that wait again have their next turn later.
        for conn in tuple(self._waiting)[:_TURNS_AT_ONCE]:
            proceed = self._waiting.pop(conn, None)
            if proceed is not None:
                proceed()
        self._schedule()
