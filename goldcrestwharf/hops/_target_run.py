"""Take one request through the gate of a target and run it."""

import logging

import attrs

from goldcrestwharf.errors import NotSentError, OutcomeUnknownError
from goldcrestwharf.hops import _headers
from goldcrestwharf.hops._death_watch import DeathWatch, InFlightRequest
from goldcrestwharf.hops._framing import frame_answer, frame_request
from goldcrestwharf.hops._gates import Gates
from goldcrestwharf.hops._messages import (
    HopAnswer,
    HopOutcome,
    HopReason,
    HopRefusal,
    HopRequest,
    HopUnknown,
    UnknownReason,
)
from goldcrestwharf.hops._target_client import (
    TargetAnswer,
    TargetClient,
    TargetRequest,
)
from goldcrestwharf.limits import Deadline, Refusal, RefusalReason, SlotGate
from goldcrestwharf.membership import Target
from goldcrestwharf.timers import Timers

_log = logging.getLogger(__name__)

_MS_PER_S = 1000


@attrs.define(kw_only=True, eq=False)
class TargetRun:
    """Run one request; ``is_dispatched`` once the target may have it."""

    req: HopRequest
    target: Target
    traceparent: str
    gate: SlotGate
    deadline: Deadline
    client: TargetClient
    deaths: DeathWatch
    timers: Timers
    is_dispatched: bool = False

    async def execute(self) -> HopOutcome:
        """Return the target's answer or why there is none."""
        refusal = await self.gate.admit(
            remaining=self.deadline.remaining(),
            caller=self.req.caller,
        )
        if refusal is not None:
            return self._refuse(refusal)
        admitted_at = self.timers.now()
        try:
            return await self._dispatch()
        finally:
            self.gate.release(service_time=self.timers.now() - admitted_at)

    def give_up(self) -> HopOutcome:
        """Return what is known of the request at its deadline."""
        if self.is_dispatched:
            return self._lose(UnknownReason.TIMEOUT)
        return self._refuse(Refusal(reason=RefusalReason.DEADLINE_SPENT))

    async def _dispatch(self) -> HopOutcome:
        if self.deadline.is_expired:
            return self.give_up()
        self.is_dispatched = True
        with self.deaths.run(
            self.target.address,
            self.req.fingerprint,
        ) as running:
            return await self._exchange(running)

    async def _exchange(self, running: InFlightRequest) -> HopOutcome:
        try:
            answer = await self.client.send(
                self.target.address,
                _make_request(self),
            )
        except NotSentError as exc:
            _log.info('target.not_sent target=%s reason=%s', self.target, exc)
            return HopRefusal(
                reason=HopReason.NOT_SENT,
                load=self.gate.load(),
            )
        except OutcomeUnknownError as exc:
            _log.info('target.lost target=%s reason=%s', self.target, exc)
            self.deaths.note_loss(running)
            return self._lose(UnknownReason.CONNECTION_LOST)
        self.deaths.note_answer(self.target.address)
        return _make_answer(answer, self.gate)

    def _refuse(self, refusal: Refusal) -> HopRefusal:
        return HopRefusal(
            reason=refusal.reason,
            retry_after=refusal.retry_after,
            load=self.gate.load(),
        )

    def _lose(self, reason: UnknownReason) -> HopUnknown:
        return HopUnknown(reason=reason, load=self.gate.load())


class TargetRuns:
    """Open the runs of requests on the targets of this VM.

    ``deaths`` watches over the targets' processes.
    """

    def __init__(
        self,
        *,
        gates: Gates,
        client: TargetClient,
        deaths: DeathWatch,
        timers: Timers,
    ) -> None:
        """Admit by ``gates`` and send by ``client``."""
        self._gates = gates
        self._client = client
        self.deaths = deaths
        self._timers = timers

    def open(
        self,
        req: HopRequest,
        target: Target,
        traceparent: str,
    ) -> TargetRun:
        """Return the run of ``req`` on ``target``, yet to be executed.

        ``traceparent`` is what the target gets.
        """
        remaining = req.remaining_ms / _MS_PER_S
        return TargetRun(
            req=req,
            target=target,
            traceparent=traceparent,
            gate=self._gates.find(target),
            deadline=Deadline(timers=self._timers, seconds=remaining),
            client=self._client,
            deaths=self.deaths,
            timers=self._timers,
        )

    async def close(self) -> None:
        """Close the idle connections to the targets."""
        await self._client.close()


def _make_answer(answer: TargetAnswer, gate: SlotGate) -> HopAnswer:
    return HopAnswer(
        status=answer.status,
        headers=frame_answer(answer),
        body=answer.body,
        load=gate.load(),
    )


def _make_request(run: TargetRun) -> TargetRequest:
    req = run.req
    own = [
        (_headers.DEADLINE, run.deadline.to_header().encode()),
        (_headers.ATTEMPT, b'%d' % req.retries),
    ]
    if run.traceparent:
        own.append((_headers.TRACEPARENT, run.traceparent.encode()))
    return TargetRequest(
        method=req.method,
        path=req.path,
        headers=(*frame_request(req), *own),
        body=req.body,
        remaining=run.deadline.remaining(),
        is_repeatable=req.is_repeatable,
    )
