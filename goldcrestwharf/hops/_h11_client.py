"""Speak HTTP/1.1 to targets through h11 over anyio streams.

Connections are kept and used again while they are young; one that fails
or is cancelled half way is closed, so that no answer is ever read by the
wrong request.
"""

import itertools
from collections import deque

import anyio

from goldcrestwharf.errors import NotSentError
from goldcrestwharf.hops._h11_conn import TargetConn
from goldcrestwharf.hops._settings import HopsSettings
from goldcrestwharf.hops._target_client import TargetAnswer, TargetRequest
from goldcrestwharf.timers import Timers

_MS_PER_S = 1000


class H11TargetClient:
    """Keep connections to targets and run one request at a time on each."""

    def __init__(self, *, timers: Timers, cfg: HopsSettings) -> None:
        """Start without any connection."""
        self._timers = timers
        self._cfg = cfg
        self._idle: dict[str, deque[TargetConn]] = {}

    async def send(self, address: str, req: TargetRequest) -> TargetAnswer:
        """Return the whole answer of the target at ``address``."""
        conn = await self._take_idle(address) or await self._open(address)
        try:
            answer = await conn.exchange(req)
        except BaseException:
            await conn.close()
            raise
        if conn.is_reusable():
            self._keep(address, conn)
        else:
            await conn.close()
        return answer

    async def is_alive(self, address: str) -> bool:
        """Tell whether the process at ``address`` seems to run still."""
        try:
            conn = await self._open(address)
        except NotSentError:
            return False
        self._keep(address, conn)
        return True

    async def close(self) -> None:
        """Close all idle connections."""
        idle = tuple(itertools.chain.from_iterable(self._idle.values()))
        self._idle.clear()
        async with anyio.create_task_group() as tg:
            for conn in idle:
                tg.start_soon(conn.close)

    async def _take_idle(self, address: str) -> 'TargetConn | None':
        conns = self._idle.get(address, ())
        oldest = self._timers.now() - self._cfg.idle_reuse_ms / _MS_PER_S
        while conns:
            conn = conns.pop()
            if conn.idle_since > oldest and conn.is_quiet():
                return conn
            await conn.close()
        return None

    async def _open(self, address: str) -> 'TargetConn':
        host, port = address.rsplit(':', 1)
        limit = self._cfg.connect_timeout_ms / _MS_PER_S
        try:
            with anyio.fail_after(limit):
                stream = await anyio.connect_tcp(host, int(port))
        except (OSError, TimeoutError) as exc:
            raise NotSentError(
                reason=f'no connection to the target {address}: {exc!r}',
                remedy='check that the target runs and listens there',
            ) from exc
        return TargetConn(stream=stream, cfg=self._cfg)

    def _keep(self, address: str, conn: 'TargetConn') -> None:
        conn.idle_since = self._timers.now()
        self._idle.setdefault(address, deque()).append(conn)
