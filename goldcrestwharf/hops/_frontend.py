"""Accept requests from callers as an ASGI application."""

import http
import logging

import anyio
from anyio.abc import TaskGroup

from goldcrestwharf.hops import _asgi
from goldcrestwharf.hops._final import (
    FinalAnswer,
    RejectedError,
    make_final_answer,
    make_rejection,
)
from goldcrestwharf.hops._forwarder import Forwarder
from goldcrestwharf.hops._in_flight import InFlight
from goldcrestwharf.hops._messages import (
    HopRefusal,
    HopUnknown,
    UnknownReason,
)
from goldcrestwharf.hops._settings import HopsSettings
from goldcrestwharf.limits import RefusalReason
from goldcrestwharf.timers import Timers

_log = logging.getLogger(__name__)

_MS_PER_S = 1000


class CallerFrontend:
    """ASGI application that serves callers.

    A caller that disconnects cancels its request on all hops. ``in_flight``
    counts the requests in progress.
    """

    def __init__(
        self,
        *,
        forwarder: Forwarder,
        timers: Timers,
        tg: TaskGroup,
        cfg: HopsSettings,
    ) -> None:
        """Pass requests to ``forwarder``; detect disconnects in ``tg``."""
        self.in_flight = InFlight()
        self._forwarder = forwarder
        self._timers = timers
        self._tg = tg
        self._cfg = cfg
        self._forwarding: set[anyio.CancelScope] = set()
        self._is_aborting = False

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

    def abort_requests(self) -> None:
        """Answer all requests in progress at once with an unknown outcome.

        Called when the drain timeout of the daemon has passed.
        """
        self._is_aborting = True
        for scope in tuple(self._forwarding):
            scope.cancel()

    async def _serve(
        self,
        scope: _asgi.Scope,
        receive: _asgi.Receive,
        send: _asgi.Send,
    ) -> None:
        try:
            answer = await self._answer(scope, receive)
        except _asgi.CallerDisconnectedError:
            _log.debug('caller.gone path=%s', scope['path'])
            return
        await _asgi.write_answer(send, answer)

    async def _answer(
        self,
        scope: _asgi.Scope,
        receive: _asgi.Receive,
    ) -> FinalAnswer:
        if self.in_flight.is_draining:
            return _refuse(RefusalReason.LEAVING, self._cfg)
        if self.in_flight.total > self._cfg.max_requests:
            return _refuse(RefusalReason.DAEMON_FULL, self._cfg)
        try:
            req = await _read(scope, receive, self._timers, self._cfg)
        except RejectedError as exc:
            return make_rejection(exc)
        return await self._forward(receive, req)

    async def _forward(
        self,
        receive: _asgi.Receive,
        req: _asgi.CallerRequest,
    ) -> FinalAnswer:
        with anyio.CancelScope() as scope:
            self._forwarding.add(scope)
            # The server also reports a disconnect after the answer, which
            # ends the task.
            self._tg.start_soon(_cancel_on_disconnect, receive, scope)
            try:
                return await self._forwarder.forward(req)
            finally:
                self._forwarding.discard(scope)
        if self._is_aborting:
            return make_final_answer(
                HopUnknown(reason=UnknownReason.DAEMON_STOPPED)
            )
        raise _asgi.CallerDisconnectedError


async def _read(
    scope: _asgi.Scope,
    receive: _asgi.Receive,
    timers: Timers,
    cfg: HopsSettings,
) -> _asgi.CallerRequest:
    with timers.limit(cfg.body_timeout_ms / _MS_PER_S):
        return await _asgi.read_request(scope, receive, cfg)
    raise RejectedError(
        status=http.HTTPStatus.REQUEST_TIMEOUT,
        reason='the body was not received in time',
    )


def _refuse(reason: RefusalReason, cfg: HopsSettings) -> FinalAnswer:
    wait = cfg.retry_after_ms / _MS_PER_S
    return make_final_answer(HopRefusal(reason=reason, retry_after=wait))


async def _cancel_on_disconnect(
    receive: _asgi.Receive,
    scope: anyio.CancelScope,
) -> None:
    await _asgi.wait_for_disconnect(receive)
    scope.cancel()
