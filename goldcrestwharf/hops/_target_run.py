"""Take one request through the gate of a target and run it."""

import logging

import attrs

from goldcrestwharf.errors import NotSentError, OutcomeUnknownError
from goldcrestwharf.hops import _headers
from goldcrestwharf.hops._messages import (
    HopAnswer,
    HopOutcome,
    HopRefusal,
    HopRequest,
    HopUnknown,
    Load,
    RefusalReason,
    UnknownReason,
)
from goldcrestwharf.hops._target_client import (
    TargetAnswer,
    TargetClient,
    TargetRequest,
)
from goldcrestwharf.limits import SlotGate
from goldcrestwharf.membership import Target
from goldcrestwharf.timers import Timers

_log = logging.getLogger(__name__)

_MS_PER_S = 1000


@attrs.define(kw_only=True, eq=False)
class TargetRun:
    """Take one request through the gate to the target."""

    req: HopRequest
    target: Target
    gate: SlotGate
    client: TargetClient
    expires_at: float
    timers: Timers
    is_dispatched: bool = False

    async def execute(self) -> HopOutcome:
        """Return the target's answer or why there is none."""
        if not await self.gate.admit():
            return self._refuse(RefusalReason.OVERLOAD)
        try:
            return await self._dispatch()
        finally:
            self.gate.release()

    def give_up(self) -> HopOutcome:
        """Return what is known of the request at its deadline."""
        if self.is_dispatched:
            return self._unknown(UnknownReason.TIMEOUT)
        return self._refuse(RefusalReason.DEADLINE)

    async def _dispatch(self) -> HopOutcome:
        self.is_dispatched = True
        try:
            answer = await self.client.send(
                self.target.address,
                _make_request(self),
            )
        except NotSentError as exc:
            _log.info('target.not_sent target=%s reason=%s', self.target, exc)
            return self._refuse(RefusalReason.NOT_SENT)
        except OutcomeUnknownError as exc:
            _log.info('target.lost target=%s reason=%s', self.target, exc)
            return self._unknown(UnknownReason.CONNECTION_LOST)
        return self._make_answer(answer)

    def _make_answer(self, answer: TargetAnswer) -> HopAnswer:
        return HopAnswer(
            status=answer.status,
            headers=_headers.pass_on(answer.headers),
            body=answer.body,
            load=_load_of(self.gate),
        )

    def _refuse(self, reason: RefusalReason) -> HopRefusal:
        return HopRefusal(reason=reason, load=_load_of(self.gate))

    def _unknown(self, reason: UnknownReason) -> HopUnknown:
        return HopUnknown(reason=reason, load=_load_of(self.gate))


def _load_of(gate: SlotGate) -> Load:
    return Load(in_use=gate.in_use, queued=gate.queued, slots=gate.slots)


def _make_request(run: TargetRun) -> TargetRequest:
    remaining = run.expires_at - run.timers.now()
    return TargetRequest(
        method=run.req.method,
        path=run.req.path,
        headers=_add_own(run.req, max(int(remaining * _MS_PER_S), 0)),
        body=run.req.body,
        is_repeatable=run.req.is_repeatable,
    )


def _add_own(
    req: HopRequest,
    remaining_ms: int,
) -> tuple[tuple[bytes, bytes], ...]:
    own = [
        (_headers.DEADLINE, b'%d' % remaining_ms),
        (_headers.ATTEMPT, b'%d' % req.attempt),
    ]
    if req.traceparent:
        own.append((_headers.TRACEPARENT, req.traceparent.encode()))
    return (*req.headers, *own)
