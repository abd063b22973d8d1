"""Speak HTTP/1.1 to targets through h11 over anyio streams.

Connections are kept and used again while they are young; one that fails
or is cancelled half way is closed, so that no answer is ever read by the
wrong request.
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

#: Share of the time left that a kept connection may be silent before a
#: repeatable request is sent again on a fresh one.
_SILENT_SHARE = 0.5


class H11TargetClient:
    """Keep connections to targets and run one request at a time on each."""

    def __init__(self, *, timers: Timers, cfg: HopsSettings) -> None:
        """Start without any connection."""
        self._timers = timers
        self._cfg = cfg
        self._idle = IdleConns(timers=timers, cfg=cfg)
        self._budget = RetryBudget(
            percent=cfg.fresh_tries_percent,
            timers=timers,
        )

    async def send(self, address: str, req: TargetRequest) -> TargetAnswer:
        """Return the whole answer of the target at ``address``.

        A kept connection may have gone silent or stale, which says nothing
        of the target; a repeatable request then gets a fresh one.
        """
        conn = await self._idle.take(address)
        if conn is not None and req.is_repeatable:
            return await self._send_kept(address, conn, req)
        if conn is None:
            conn = await _open(address, self._cfg)
        return await self._exchange(address, conn, req)

    async def is_alive(self, address: str) -> bool:
        """Tell whether the process at ``address`` seems to run still.

        It doesn't if it accepts no connection, or if all kept connections
        to it have ended together, as after a quick restart.
        """
        if self._idle.have_all_ended(address):
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

    async def _send_kept(
        self,
        address: str,
        conn: TargetConn,
        req: TargetRequest,
    ) -> TargetAnswer:
        self._budget.record_first_attempt()
        try:
            with self._timers.limit(req.remaining * _SILENT_SHARE):
                return await self._exchange(address, conn, req)
        except OutcomeUnknownError:
            if not self._budget.spend():
                raise
        return await self._send_again(address, req)

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
            if not conn.has_heard:
                # Others may have gone silent with this one.
                await self._idle.drop(address)
            raise
        if conn.is_reusable():
            self._idle.keep(address, conn)
        else:
            await conn.close()
        return answer

    async def _send_again(
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
    limit = cfg.connect_timeout_ms / _MS_PER_S
    try:
        with anyio.fail_after(limit):
            stream = await anyio.connect_tcp(host, int(port))
    except (OSError, TimeoutError) as exc:
        raise NotSentError(
            reason=f'no connection to the target {address}: {exc!r}',
            remedy='check that the target runs and listens there',
        ) from exc
    return TargetConn(stream=stream, cfg=cfg)
