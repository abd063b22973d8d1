"""Keep idle connections to targets for reuse."""

import itertools
from collections import deque
from collections.abc import Iterable

import anyio

from goldcrestwharf.hops._h11_conn import TargetConn
from goldcrestwharf.hops._settings import HopsSettings
from goldcrestwharf.timers import Timers

_MS_PER_S = 1000


class IdleConns:
    """Pool of idle connections, most recently used first.

    A connection that has been idle for too long is not reused, because the
    target may close it just as a request is sent.
    """

    def __init__(self, *, timers: Timers, cfg: HopsSettings) -> None:
        """Create an empty pool."""
        self._timers = timers
        self._max_age = cfg.idle_reuse_ms / _MS_PER_S
        self._by_address: dict[str, deque[TargetConn]] = {}

    def keep(self, address: str, conn: TargetConn) -> None:
        """Add a connection whose exchange has ended."""
        conn.idle_since = self._timers.now()
        self._by_address.setdefault(address, deque()).append(conn)

    async def take(self, address: str) -> TargetConn | None:
        """Remove and return a usable connection, ``None`` without one."""
        conns = self._by_address.get(address)
        if not conns:
            return None
        oldest = self._timers.now() - self._max_age
        conn = conns.pop()
        if conn.idle_since > oldest and conn.has_no_input():
            return conn
        # The others have been idle for longer, or were closed along with it.
        await conn.close()
        await self.drop(address)
        return None

    def are_all_closed(self, address: str) -> bool:
        """Return whether there are connections and the target closed all."""
        conns = self._by_address.get(address)
        if not conns:
            return False
        return not any(conn.has_no_input() for conn in conns)

    async def drop(self, address: str) -> None:
        """Close the connections to one target."""
        await _close_all(self._by_address.pop(address, ()))

    async def close(self) -> None:
        """Close all connections."""
        conns = itertools.chain.from_iterable(self._by_address.values())
        self._by_address = {}
        await _close_all(conns)


async def _close_all(conns: Iterable[TargetConn]) -> None:
    async with anyio.create_task_group() as tg:
        for conn in conns:
            tg.start_soon(conn.close)
