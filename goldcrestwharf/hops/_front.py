"""Take requests from callers as an ASGI application."""

import http
import logging

import anyio
import attrs

from goldcrestwharf.hops import _asgi
from goldcrestwharf.hops._final import (
    FinalAnswer,
    RejectedError,
    finish,
    reject,
)
from goldcrestwharf.hops._forwarder import Forwarder
from goldcrestwharf.hops._in_flight import InFlight
from goldcrestwharf.hops._messages import HopRefusal
from goldcrestwharf.hops._settings import HopsSettings
from goldcrestwharf.limits import RefusalReason
from goldcrestwharf.timers import Timers

_log = logging.getLogger(__name__)

_MS_PER_S = 1000


class CallerFront:
    """Answer each request of a caller with one whole answer.

    A caller that hangs up cancels its request on all hops. ``in_flight``
    counts the requests in progress.
    """

    def __init__(
        self,
        *,
        forwarder: Forwarder,
        timers: Timers,
        cfg: HopsSettings,
    ) -> None:
        """Hand the requests to ``forwarder``."""
        self.in_flight = InFlight()
        self._forwarder = forwarder
        self._timers = timers
        self._cfg = cfg

    async def __call__(
        self,
        scope: _asgi.Scope,
        receive: _asgi.Receive,
        send: _asgi.Send,
    ) -> None:
        """Serve one ASGI connection scope."""
        if scope['type'] != 'http':
            return
        with self.in_flight.count():
            await self._serve(scope, receive, send)

    async def drain(self) -> None:
        """Refuse new requests and wait until all others are answered."""
        await self.in_flight.drain()

    async def _serve(
        self,
        scope: _asgi.Scope,
        receive: _asgi.Receive,
        send: _asgi.Send,
    ) -> None:
        try:
            answer = await self._answer(scope, receive)
        except _asgi.CallerGoneError:
            _log.debug('caller.gone path=%s', scope['path'])
            return
        await _asgi.write_answer(send, answer)

    async def _answer(
        self,
        scope: _asgi.Scope,
        receive: _asgi.Receive,
    ) -> FinalAnswer:
        if self.in_flight.is_draining:
            return self._refuse(RefusalReason.LEAVING)
        if self.in_flight.total > self._cfg.max_requests:
            return self._refuse(RefusalReason.DAEMON_FULL)
        try:
            req = await self._read(scope, receive)
        except RejectedError as exc:
            return reject(exc)
        return await _Watched(receive=receive).run(self._forwarder, req)

    async def _read(
        self,
        scope: _asgi.Scope,
        receive: _asgi.Receive,
    ) -> _asgi.CallerRequest:
        with self._timers.limit(self._cfg.body_timeout_ms / _MS_PER_S):
            return await _asgi.read_request(scope, receive, self._cfg)
        raise RejectedError(
            status=http.HTTPStatus.REQUEST_TIMEOUT,
            reason='the body did not come in time',
        )

    def _refuse(self, reason: RefusalReason) -> FinalAnswer:
        wait = self._cfg.retry_after_ms / _MS_PER_S
        return finish(HopRefusal(reason=reason, retry_after=wait))


@attrs.define(kw_only=True)
class _Watched:
    """Forward a request for as long as its caller waits."""

    receive: _asgi.Receive
    answer: FinalAnswer | None = None

    async def run(
        self,
        forwarder: Forwarder,
        req: _asgi.CallerRequest,
    ) -> FinalAnswer:
        """Return the answer.

        Raises :class:`CallerGoneError` if the caller hung up first.
        """
        async with anyio.create_task_group() as tg:
            tg.start_soon(self._cancel_on_hang_up, tg.cancel_scope)
            self.answer = await forwarder.forward(req)
            tg.cancel_scope.cancel()
        if self.answer is None:
            raise _asgi.CallerGoneError
        return self.answer

    async def _cancel_on_hang_up(self, scope: anyio.CancelScope) -> None:
        await _asgi.wait_hang_up(self.receive)
        scope.cancel()
