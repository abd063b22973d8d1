"""Keep idle connections to targets while they are young."""

import itertools
from collections import deque
from collections.abc import Iterable

import anyio

from goldcrestwharf.hops._h11_conn import TargetConn
from goldcrestwharf.hops._settings import HopsSettings
from goldcrestwharf.timers import Timers

_MS_PER_S = 1000


class IdleConns:
    """Hand out the connection that was used last, unless it is too old.

    Old ones are not used again, because the target may close them at the
    moment at which a request is written.
    """

    def __init__(self, *, timers: Timers, cfg: HopsSettings) -> None:
        """Start without any connection."""
        self._timers = timers
        self._max_age = cfg.idle_reuse_ms / _MS_PER_S
        self._by_address: dict[str, deque[TargetConn]] = {}

    def keep(self, address: str, conn: TargetConn) -> None:
        """Add a connection on which no answer is due."""
        conn.idle_since = self._timers.now()
        self._by_address.setdefault(address, deque()).append(conn)

    async def take(self, address: str) -> TargetConn | None:
        """Remove and return a usable connection, if there is one."""
        conns = self._by_address.get(address)
        if not conns:
            return None
        oldest = self._timers.now() - self._max_age
        conn = conns.pop()
        if conn.idle_since > oldest and conn.is_quiet():
            return conn
        # Those below were used even earlier, or ended with it.
        await conn.close()
        await self.drop(address)
        return None

    def have_all_ended(self, address: str) -> bool:
        """Tell whether there are some and the other end closed them all."""
        conns = self._by_address.get(address)
        if not conns:
            return False
        return not any(conn.is_quiet() for conn in conns)

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
