"""Keep connections to the target on this VM."""

import re
from collections.abc import Callable

import attrs

from goldcrestwharf.http1 import ClientConn, Response, connect

#: Seconds in which a target on the same VM accepts a connection, if it runs.
_CONNECT_TIMEOUT_S = 0.25

#: Seconds that a connection is kept if the target names no time.
_DEFAULT_KEEP_S = 4.0

#: Part of the time that the target names in which a connection is reused;
#: the rest is room for clocks and for bytes on their way.
_KEEP_SHARE = 0.7

#: Idle seconds beyond which a request that may run once at most gets a new
#: connection, since a reset of a kept one would leave its outcome unknown.
_FRESH_ENOUGH_S = 1.0

_TIMEOUT = re.compile(rb'timeout=(\d+)')


@attrs.define(kw_only=True, eq=False)
class _Kept:
    conn: ClientConn
    since: float
    until: float


class TargetPool:
    """Hand out connections to one address, the latest used first."""

    def __init__(self, *, address: str, clock: Callable[[], float]) -> None:
        """Connect to ``address`` (``host:port``)."""
        self._address = address
        self._clock = clock
        self._kept: list[_Kept] = []

    async def take(self, *, is_repeatable: bool) -> ClientConn:
        """Return a connection; raises :class:`OSError` if there is none."""
        now = self._clock()
        while self._kept:
            kept = self._kept.pop()
            is_fresh = is_repeatable or now - kept.since < _FRESH_ENOUGH_S
            if kept.conn.is_usable and now < kept.until and is_fresh:
                return kept.conn
            kept.conn.close()
        return await connect(self._address, timeout=_CONNECT_TIMEOUT_S)

    def put_back(self, conn: ClientConn, response: Response | None) -> None:
        """Keep a connection that may serve again, after a whole answer."""
        if response is None or not (response.can_reuse and conn.is_usable):
            conn.close()
            return
        now = self._clock()
        found = _TIMEOUT.search(response.find(b'keep-alive') or b'')
        named = float(found.group(1)) if found else _DEFAULT_KEEP_S
        self._kept.append(
            _Kept(conn=conn, since=now, until=now + named * _KEEP_SHARE),
        )

    def close(self) -> None:
        """Close the connections that are kept."""
        while self._kept:
            self._kept.pop().conn.close()
