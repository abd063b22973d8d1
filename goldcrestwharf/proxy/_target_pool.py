"""Connection pool of the local target."""

import re
from collections.abc import Callable

import attrs

from goldcrestwharf.http1 import ClientConn, Response, connect

#: Timeout to connect to a target on the same VM, in seconds.
_CONNECT_TIMEOUT_S = 0.25

#: Seconds to keep a connection if the target sends no keep-alive timeout.
_DEFAULT_KEEP_ALIVE_S = 4.0

#: Fraction of the target's keep-alive timeout in which a connection is reused;
#: the rest allows for clock differences and latency.
_KEEP_ALIVE_FRACTION = 0.7

#: Maximum idle time, in seconds, of a connection for a request that isn't
#: repeatable, since a reset of an idle connection leaves its outcome unknown.
_MAX_IDLE_S = 1.0

_TIMEOUT = re.compile(rb'timeout=(\d+)')


@attrs.define(kw_only=True, eq=False)
class _IdleConnection:
    conn: ClientConn
    since: float
    until: float


class TargetPool:
    """Pool of connections to one address, last in, first out."""

    def __init__(self, *, address: str, clock: Callable[[], float]) -> None:
        """Create an empty pool for ``address`` (``host:port``)."""
        self._address = address
        self._clock = clock
        self._idle: list[_IdleConnection] = []

    async def take(self, *, is_repeatable: bool) -> ClientConn:
        """Return a connection; raise :class:`OSError` if connecting fails."""
        now = self._clock()
        while self._idle:
            idle = self._idle.pop()
            is_fresh = is_repeatable or now - idle.since < _MAX_IDLE_S
            if idle.conn.is_usable and now < idle.until and is_fresh:
                return idle.conn
            idle.conn.close()
        return await connect(self._address, timeout=_CONNECT_TIMEOUT_S)

    async def is_target_alive(self) -> bool:
        """Return whether the target accepts a connection, and keep it.

        Idle connections prove nothing: those to a crashed target break one
        after the other.
        """
        try:
            conn = await connect(self._address, timeout=_CONNECT_TIMEOUT_S)
        except OSError:
            return False
        self._keep(conn, _DEFAULT_KEEP_ALIVE_S)
        return True

    def put_back(self, conn: ClientConn, response: Response | None) -> None:
        """Return a connection to the pool after a complete response."""
        if response is None or not (response.can_reuse and conn.is_usable):
            conn.close()
            return
        found = _TIMEOUT.search(response.find(b'keep-alive') or b'')
        named = float(found.group(1)) if found else _DEFAULT_KEEP_ALIVE_S
        self._keep(conn, named)

    def close(self) -> None:
        """Close all pooled connections."""
        while self._idle:
            self._idle.pop().conn.close()

    def _keep(self, conn: ClientConn, keep_alive: float) -> None:
        """Add an idle connection; ``keep_alive`` is the target's timeout."""
        now = self._clock()
        until = now + keep_alive * _KEEP_ALIVE_FRACTION
        self._idle.append(_IdleConnection(conn=conn, since=now, until=until))
