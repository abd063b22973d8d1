"""Attempts whose body or answer is large, at the daemon beside the target."""

import asyncio

import attrs

from goldcrestwharf.admission import Refusal, RefusalReason
from goldcrestwharf.loglines import EventLog
from goldcrestwharf.proxy import _metrics
from goldcrestwharf.proxy._attempt import Attempt
from goldcrestwharf.proxy._body_messages import BodyAhead
from goldcrestwharf.proxy._bulk_estimate import estimate_bulk
from goldcrestwharf.proxy._incoming_bodies import BodyReceipt
from goldcrestwharf.proxy._local_target import LocalTarget
from goldcrestwharf.proxy._outcomes import Ran, Reply
from goldcrestwharf.proxy._stream_bodies import StreamBodies
from goldcrestwharf.transfers import TransferRank

_log = EventLog(__name__)

_MS_PER_S = 1000

#: Fraction of its mean service time that an attempt must have left when its
#: body is complete; the slot scheduler refuses it otherwise.
_MIN_REMAINING_FRACTION = 0.5


class BulkRuns:
    """Runs of attempts that one other daemon sent.

    Whether an attempt can be answered in time is decided before its body
    moves. The attempt takes a slot only when its body is complete.
    """

    def __init__(
        self, *, local_target: LocalTarget, bodies: StreamBodies
    ) -> None:
        """Run on ``local_target`` what ``bodies`` brings."""
        self._local_target = local_target
        self._bodies = bodies
        self._transfers = bodies.transfers

    async def run(
        self, attempt: Attempt, ahead: BodyAhead | None, rank: TransferRank
    ) -> Reply:
        """Run an attempt; its body follows if there is an announcement."""
        if ahead is None and not self._transfers.is_enabled:
            return await self._local_target.run(attempt)
        refusal = self._find_refusal(attempt, ahead, rank)
        if refusal is not None:
            return Reply(outcome=refusal, report=None)
        if ahead is None:
            reply = await self._local_target.run(attempt)
        else:
            reply = await self._run_after_body(attempt, ahead, rank)
        if isinstance(reply.outcome, Ran):
            self._transfers.answer_sizes.record(
                attempt.request_class, len(reply.outcome.body)
            )
        return reply

    async def _run_after_body(
        self, attempt: Attempt, ahead: BodyAhead, rank: TransferRank
    ) -> Reply:
        budget = self._transfers.budget
        if not budget.reserve(ahead.size):
            retry_after = budget.find_retry_after(ahead.size)
            refusal = _refuse(attempt, 'memory', retry_after)
            return Reply(outcome=refusal, report=None)
        try:
            return await self._receive_and_run(attempt, ahead, rank)
        finally:
            budget.release(ahead.size)

    async def _receive_and_run(
        self, attempt: Attempt, ahead: BodyAhead, rank: TransferRank
    ) -> Reply:
        received = await self._receive(attempt, ahead, rank)
        if isinstance(received, Refusal):
            return Reply(outcome=received, report=None)
        return await self._local_target.run(received)

    async def _receive(
        self, attempt: Attempt, ahead: BodyAhead, rank: TransferRank
    ) -> Attempt | Refusal:
        """Return the attempt with its body."""
        began_at = self._transfers.clock()
        arrival: asyncio.Future[bytes | None] = (
            asyncio.get_running_loop().create_future()
        )
        receipt = BodyReceipt(
            number=ahead.number,
            size=ahead.size,
            rank=rank,
            finish=lambda body: _set_result(arrival, body),
        )
        self._local_target.in_flight += 1
        try:
            body = await self._wait(attempt, receipt, arrival)
        except TimeoutError:
            return Refusal(reason=RefusalReason.TOO_LATE)
        finally:
            self._local_target.in_flight -= 1
            self._bodies.incoming.stop(ahead.number)
        if body is None:
            _log.note(
                'transfer.broken',
                request=attempt.request_id,
                route=attempt.request_class,
                size=ahead.size,
            )
            return Refusal(reason=RefusalReason.NOT_SENT)
        elapsed = self._transfers.clock() - began_at
        return attrs.evolve(attempt.shorten(elapsed), body=body)

    async def _wait(
        self,
        attempt: Attempt,
        receipt: BodyReceipt,
        arrival: 'asyncio.Future[bytes | None]',
    ) -> bytes | None:
        service_time = self._local_target.scheduler.service_times.mean_of(
            attempt.request_class
        )
        left = attempt.left - service_time * _MIN_REMAINING_FRACTION
        self._bodies.incoming.expect(receipt)
        async with asyncio.timeout(left):
            return await arrival

    def _find_refusal(
        self, attempt: Attempt, ahead: BodyAhead | None, rank: TransferRank
    ) -> Refusal | None:
        estimate = estimate_bulk(
            self._transfers, self._local_target.scheduler, attempt, ahead, rank
        )
        if estimate is None:
            return None
        if ahead is not None:
            refusal = self._local_target.find_refusal(attempt)
            if refusal is not None:
                return refusal
        _metrics.record_link_backlog(estimate.backlog)
        missing = estimate.total - attempt.left
        if missing <= 0:
            return None
        _metrics.count_refused_transfer('link')
        return _refuse(attempt, 'link', missing)


def _refuse(attempt: Attempt, cause: str, retry_after: float) -> Refusal:
    _log.note(
        'transfer.refused',
        request=attempt.request_id,
        route=attempt.request_class,
        cause=cause,
        left_ms=round(attempt.left * _MS_PER_S),
        retry_ms=round(retry_after * _MS_PER_S),
    )
    return Refusal(reason=RefusalReason.OVERLOADED, retry_after=retry_after)


def _set_result(
    arrival: 'asyncio.Future[bytes | None]', body: bytes | None
) -> None:
    if not arrival.done():
        arrival.set_result(body)
