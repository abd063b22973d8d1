"""Send HTTP/1.1 requests to targets with h11 over anyio streams.

Connections are reused unless they have been idle for too long. A connection
whose exchange fails or is cancelled is closed, so that a late answer can't
be taken for the answer to the next request.
"""

import anyio

from goldcrestwharf.errors import NotSentError, OutcomeUnknownError
from goldcrestwharf.hops._h11_conn import TargetConn
from goldcrestwharf.hops._idle_conns import IdleConns
from goldcrestwharf.hops._settings import HopsSettings
from goldcrestwharf.hops._target_client import TargetAnswer, TargetRequest
from goldcrestwharf.limits import RetryBudget
from goldcrestwharf.timers import Timers

_MS_PER_S = 1000

#: Fraction of the remaining time that a kept connection may take to answer
#: before a repeatable request is sent again on a new connection.
_KEPT_CONN_TIMEOUT_FRACTION = 0.5


class H11TargetClient:
    """HTTP/1.1 client with a pool of connections to targets.

    Each connection carries one request at a time.
    """

    def __init__(self, *, timers: Timers, cfg: HopsSettings) -> None:
        """Create a client without open connections."""
        self._timers = timers
        self._cfg = cfg
        self._idle = IdleConns(timers=timers, cfg=cfg)
        self._budget = RetryBudget(
            percent=cfg.fresh_tries_percent,
            timers=timers,
        )

    async def send(self, address: str, req: TargetRequest) -> TargetAnswer:
        """Return the complete answer of the target at ``address``.

        A kept connection may be broken although the target is healthy. A
        repeatable request is then sent again on a new connection.
        """
        conn = await self._idle.take(address)
        if conn is not None and req.is_repeatable:
            return await self._send_on_kept_conn(address, conn, req)
        if conn is None:
            conn = await _open(address, self._cfg)
        return await self._exchange(address, conn, req)

    async def is_alive(self, address: str) -> bool:
        """Return whether the process at ``address`` seems to run.

        It doesn't if it accepts no connection, or if it has closed all kept
        connections, as after a quick restart.
        """
        if self._idle.are_all_closed(address):
            return False
        try:
            conn = await _open(address, self._cfg)
        except NotSentError:
            return False
        self._idle.keep(address, conn)
        return True

    async def close(self) -> None:
        """Close all idle connections."""
        await self._idle.close()

    async def _send_on_kept_conn(
        self,
        address: str,
        conn: TargetConn,
        req: TargetRequest,
    ) -> TargetAnswer:
        self._budget.record_first_attempt()
        try:
            with self._timers.limit(
                req.remaining * _KEPT_CONN_TIMEOUT_FRACTION
            ):
                return await self._exchange(address, conn, req)
        except OutcomeUnknownError:
            if not self._budget.spend():
                raise
        return await self._resend_on_new_conn(address, req)

    async def _exchange(
        self,
        address: str,
        conn: TargetConn,
        req: TargetRequest,
    ) -> TargetAnswer:
        try:
            answer = await conn.exchange(req)
        except OutcomeUnknownError:
            await conn.close()
            raise
        except BaseException:
            await conn.close()
            if not conn.has_received:
                # The other connections may be broken as well.
                await self._idle.drop(address)
            raise
        if conn.is_reusable():
            self._idle.keep(address, conn)
        else:
            await conn.close()
        return answer

    async def _resend_on_new_conn(
        self,
        address: str,
        req: TargetRequest,
    ) -> TargetAnswer:
        try:
            conn = await _open(address, self._cfg)
        except NotSentError as exc:
            raise OutcomeUnknownError(
                reason=f'the connection was lost; {exc.reason}',
                remedy=exc.remedy,
            ) from exc
        return await self._exchange(address, conn, req)


async def _open(address: str, cfg: HopsSettings) -> TargetConn:
    host, port = address.rsplit(':', 1)
    timeout = cfg.connect_timeout_ms / _MS_PER_S
    try:
        with anyio.fail_after(timeout):
            stream = await anyio.connect_tcp(host, int(port))
    except (OSError, TimeoutError) as exc:
        raise NotSentError(
            reason=f'no connection to the target {address}: {exc!r}',
            remedy='check that the target runs and listens on this address',
        ) from exc
    return TargetConn(stream=stream, cfg=cfg)
