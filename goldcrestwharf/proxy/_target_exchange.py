"""HTTP exchange of an admitted attempt with the local target."""

import asyncio
import http
from collections.abc import Callable, Collection
from functools import partial

from goldcrestwharf.admission import Refusal, RefusalReason, TargetHealth
from goldcrestwharf.http1 import (
    ClientConn,
    ExchangeError,
    Response,
    render_end_to_end,
)
from goldcrestwharf.loglines import EventLog
from goldcrestwharf.proxy._fingerprint import fingerprint_of_head
from goldcrestwharf.proxy._header_names import HeaderNames
from goldcrestwharf.proxy._notice_handler import NoticeHandler
from goldcrestwharf.proxy._outcomes import Lost, Outcome, Ran
from goldcrestwharf.proxy._slot_queue import AttemptRun
from goldcrestwharf.proxy._target_notices import read_notices
from goldcrestwharf.transfers import ResponseMemory

_log = EventLog(__name__)

_MS_PER_S = 1000

#: Seconds past the deadline for which an answer is awaited; a target that
#: observes deadlines answers by then.
_ANSWER_GRACE_S = 0.05


class TargetExchange:
    """HTTP client of the local target."""

    def __init__(
        self,
        *,
        names: HeaderNames,
        health: TargetHealth,
        notices: NoticeHandler,
        responses: ResponseMemory,
        clock: Callable[[], float],
    ) -> None:
        """Record outcomes in ``health`` and pass notices to ``notices``.

        The answers are held in ``responses`` while they are received.
        """
        self._responses = responses
        self._notices = notices
        self._names = names
        self._lower = names.lower()
        self._health = health
        self._clock = clock

    async def send(
        self,
        run: AttemptRun,
        conn: ClientConn,
    ) -> tuple[Outcome, Response | None]:
        """Send an attempt; return its outcome and the response, if any."""
        message = self._render(run)
        try:
            response = await self._exchange(run, conn, message)
        except TimeoutError:
            return self._report_lost(run, 'no answer by the deadline'), None
        except ExchangeError as exc:
            return self._report_lost(run, exc.reason, is_broken=True), None
        return self._evaluate(run, response), response

    async def _exchange(
        self,
        run: AttemptRun,
        conn: ClientConn,
        message: bytes,
    ) -> Response:
        matches = partial(
            self._is_answer,
            request_id=run.attempt.request_id.encode('latin-1'),
            is_first=conn.is_new,
            earlier=conn.statuses,
        )
        async with asyncio.timeout_at(run.deadline_at + _ANSWER_GRACE_S):
            response = await conn.exchange(
                message,
                matches=matches,
                share=self._responses.open(run.attempt.request_class),
            )
        if response.find(self._lower.request_id) is None:
            # A later copy of it could not be told apart.
            conn.is_usable = False
        return response

    def _is_answer(
        self,
        response: Response,
        *,
        request_id: bytes,
        is_first: bool,
        earlier: Collection[int],
    ) -> bool:
        """Return whether a response can be the answer to a request.

        One without an id may be a copy of an earlier answer. A success is
        taken for one unless the connection is new, and a failure if the
        connection had one of this status, as ``earlier`` tells.
        """
        named = response.find(self._lower.request_id)
        if named is not None:
            return named == request_id
        is_new_failure = (
            not response.is_success and response.status not in earlier
        )
        return is_first or is_new_failure

    def _render(self, run: AttemptRun) -> bytes:
        left = run.deadline_at - self._clock()
        return b'%b%b: %d\r\n%b: %b\r\n\r\n%b' % (
            run.attempt.head,
            self._names.deadline,
            max(round(left * _MS_PER_S), 1),
            self._names.expected_instance,
            run.attempt.instance_id.encode('latin-1'),
            run.attempt.body,
        )

    def _evaluate(self, run: AttemptRun, response: Response) -> Outcome:
        notices = read_notices(response, self._lower)
        is_not_run = self._is_not_run(response)
        is_proven = response.find(self._lower.proof) is not None
        self._notices.apply(
            run.attempt.instance_id,
            notices,
            is_complete=is_proven and not is_not_run,
        )
        if is_not_run:
            self._record(has_failed=True)
            return Refusal(
                reason=RefusalReason.TARGET_REFUSED,
                reached_target=True,
            )
        if response.is_success and not is_proven:
            return self._report_lost(run, 'the answer has no proof')
        ran = Ran(
            status=response.status,
            head=render_end_to_end(response.headers, without=frozenset()),
            body=response.body,
            is_leaving=notices.is_leaving,
        )
        self._record(has_failed=ran.has_failed)
        return ran

    def _is_not_run(self, response: Response) -> bool:
        if response.status == http.HTTPStatus.MISDIRECTED_REQUEST:
            return True
        return response.find(self._lower.not_run) is not None

    def _report_lost(
        self, run: AttemptRun, reason: str, *, is_broken: bool = False
    ) -> Lost:
        self._record(has_failed=True)
        _log.note(
            'target.answer_lost',
            request=run.attempt.request_id,
            fingerprint=fingerprint_of_head(run.attempt.head, run.attempt.body),
            cause=reason,
        )
        return Lost(reason=reason, is_broken=is_broken)

    def _record(self, *, has_failed: bool) -> None:
        self._health.record_outcome(has_failed=has_failed, now=self._clock())
