"""Send an admitted order to the own target and judge what comes back."""

import asyncio
import http
from collections.abc import Callable

from goldcrestwharf.admission import Refusal, RefusalReason, TargetHealth
from goldcrestwharf.http1 import (
    ClientConn,
    ExchangeError,
    Response,
    render_passed_on,
)
from goldcrestwharf.loglines import EventLog
from goldcrestwharf.proxy._dialect import HeaderNames
from goldcrestwharf.proxy._outcomes import Lost, Outcome, Ran
from goldcrestwharf.proxy._slot_queue import OrderRun

_log = EventLog(__name__)

_MS_PER_S = 1000

#: Seconds past the deadline in which an answer may still arrive; a target
#: that keeps deadlines answers by then.
_LATE_ANSWER_S = 0.05


class TargetExchange:
    """Speak HTTP to the own target."""

    def __init__(
        self,
        *,
        names: HeaderNames,
        health: TargetHealth,
        clock: Callable[[], float],
    ) -> None:
        """Note in ``health`` how requests end."""
        self._names = names
        self._lower = names.lower()
        self._health = health
        self._clock = clock

    async def send(
        self,
        run: OrderRun,
        conn: ClientConn,
    ) -> tuple[Outcome, Response | None]:
        """Return the outcome, and the answer if the target gave one."""
        message = self._render(run)
        try:
            response = await self._exchange(run, conn, message)
        except TimeoutError:
            return self._lose(run, 'no answer by the deadline'), None
        except ExchangeError as exc:
            return self._lose(run, exc.reason), None
        return self._judge(run, response), response

    async def _exchange(
        self,
        run: OrderRun,
        conn: ClientConn,
        message: bytes,
    ) -> Response:
        own_ids = {None, run.order.request_id.encode('latin-1')}
        name = self._lower.request_id
        async with asyncio.timeout_at(run.deadline_at + _LATE_ANSWER_S):
            return await conn.exchange(
                message,
                matches=lambda found: found.find(name) in own_ids,
            )

    def _render(self, run: OrderRun) -> bytes:
        left = run.deadline_at - self._clock()
        return b'%b%b: %d\r\n%b: %b\r\n\r\n%b' % (
            run.order.head,
            self._names.deadline,
            max(round(left * _MS_PER_S), 1),
            self._names.expected_instance,
            run.order.instance_id.encode('latin-1'),
            run.order.body,
        )

    def _judge(self, run: OrderRun, response: Response) -> Outcome:
        if self._says_not_run(response):
            self._note(has_failed=True)
            return Refusal(
                reason=RefusalReason.TARGET_REFUSED,
                reached_target=True,
            )
        is_success = response.is_success
        if is_success and response.find(self._lower.proof) is None:
            return self._lose(run, 'the answer has no proof')
        ran = Ran(
            status=response.status,
            head=render_passed_on(response.headers, without=frozenset()),
            body=response.body,
        )
        self._note(has_failed=ran.has_failed)
        return ran

    def _says_not_run(self, response: Response) -> bool:
        if response.status == http.HTTPStatus.MISDIRECTED_REQUEST:
            return True
        return response.find(self._lower.not_run) is not None

    def _lose(self, run: OrderRun, reason: str) -> Lost:
        self._note(has_failed=True)
        _log.note(
            'target.answer_lost',
            request=run.order.request_id,
            cause=reason,
        )
        return Lost(reason=reason)

    def _note(self, *, has_failed: bool) -> None:
        self._health.record_outcome(has_failed=has_failed, now=self._clock())
