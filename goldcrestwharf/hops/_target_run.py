"""Run a request on a local target once its slot gate admits it."""

import logging

import attrs

from goldcrestwharf.errors import NotSentError, OutcomeUnknownError
from goldcrestwharf.hops import _headers
from goldcrestwharf.hops._crash_detector import CrashDetector, InFlightRequest
from goldcrestwharf.hops._framing import frame_answer, frame_request
from goldcrestwharf.hops._messages import (
    HopAnswer,
    HopOutcome,
    HopReason,
    HopRefusal,
    HopRequest,
    HopUnknown,
    UnknownReason,
)
from goldcrestwharf.hops._slot_gates import SlotGates
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
    """The run of one request on a target.

    ``is_dispatched`` is set once the target may have received the request.
    """

    req: HopRequest
    target: Target
    traceparent: str
    gate: SlotGate
    deadline: Deadline
    client: TargetClient
    crash_detector: CrashDetector
    timers: Timers
    is_dispatched: bool = False

    async def execute(self) -> HopOutcome:
        """Return the answer of the target or why there is none."""
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

    def time_out(self) -> HopOutcome:
        """Return the outcome of the request when its deadline has passed."""
        if self.is_dispatched:
            return self._make_unknown(UnknownReason.TIMEOUT)
        return self._refuse(Refusal(reason=RefusalReason.DEADLINE_SPENT))

    async def _dispatch(self) -> HopOutcome:
        if self.deadline.is_expired:
            return self.time_out()
        self.is_dispatched = True
        with self.crash_detector.track(
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
            self.crash_detector.check_lost_connection(running)
            return self._make_unknown(UnknownReason.CONNECTION_LOST)
        self.crash_detector.record_answer(self.target.address)
        return _make_answer(answer, self.gate)

    def _refuse(self, refusal: Refusal) -> HopRefusal:
        return HopRefusal(
            reason=refusal.reason,
            retry_after=refusal.retry_after,
            load=self.gate.load(),
        )

    def _make_unknown(self, reason: UnknownReason) -> HopUnknown:
        return HopUnknown(reason=reason, load=self.gate.load())


class TargetRuns:
    """A factory of the runs of requests on the targets of this VM.

    ``crash_detector`` detects crashes of the targets.
    """

    def __init__(
        self,
        *,
        gates: SlotGates,
        client: TargetClient,
        crash_detector: CrashDetector,
        timers: Timers,
    ) -> None:
        """Admit requests by ``gates`` and send them with ``client``."""
        self._gates = gates
        self._client = client
        self.crash_detector = crash_detector
        self._timers = timers

    def prepare(
        self,
        req: HopRequest,
        target: Target,
        traceparent: str,
    ) -> TargetRun:
        """Return a run of ``req`` on ``target`` that is not started yet.

        ``traceparent`` is sent to the target.
        """
        remaining = req.remaining_ms / _MS_PER_S
        return TargetRun(
            req=req,
            target=target,
            traceparent=traceparent,
            gate=self._gates.find(target),
            deadline=Deadline(timers=self._timers, seconds=remaining),
            client=self._client,
            crash_detector=self.crash_detector,
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
    hop_fields = [
        (_headers.DEADLINE, run.deadline.to_header().encode()),
        (_headers.ATTEMPT, b'%d' % req.retries),
    ]
    if run.traceparent:
        hop_fields.append((_headers.TRACEPARENT, run.traceparent.encode()))
    return TargetRequest(
        method=req.method,
        path=req.path,
        headers=(*frame_request(req), *hop_fields),
        body=req.body,
        remaining=run.deadline.remaining(),
        is_repeatable=req.is_repeatable,
    )
