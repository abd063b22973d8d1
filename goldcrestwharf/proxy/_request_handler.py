"""Handling of callers' requests, from their arrival to the answer."""

import asyncio
import http
from collections.abc import Callable

import attrs

from goldcrestwharf.admission import Refusal
from goldcrestwharf.http1 import Answer, Request
from goldcrestwharf.loglines import EventLog
from goldcrestwharf.placement import Choice
from goldcrestwharf.proxy import _answer_timeouts, _answers, _metrics
from goldcrestwharf.proxy._fleet import Fleet
from goldcrestwharf.proxy._outcomes import Lost, Outcome, Ran
from goldcrestwharf.proxy._plan import Plan
from goldcrestwharf.proxy._planner import Planner
from goldcrestwharf.proxy._quota_gate import QuotaGate
from goldcrestwharf.proxy._retry_policy import RetryPolicy
from goldcrestwharf.proxy._target_selector import TargetSelector

_log = EventLog(__name__)

_MS_PER_S = 1000

#: Seconds after the final answer of a request is due for which an attempt is
#: still awaited.
_ANSWER_GRACE_S = 0.06

#: Fraction of the answers in time and at the first attempt that is logged.
_LOGGED_FRACTION = 0.02


@attrs.frozen(kw_only=True)
class RequestHandlerContext:
    """Dependencies of the handler; ``draw`` returns a random number, 0 to 1."""

    planner: Planner
    selector: TargetSelector
    fleet: Fleet
    retry_policy: RetryPolicy
    quota_gate: QuotaGate
    timeouts: _answer_timeouts.AnswerTimeouts
    clock: Callable[[], float]
    draw: Callable[[], float]


class RequestHandler:
    """Handler that gives each caller's request one final answer."""

    def __init__(self, *, context: RequestHandlerContext) -> None:
        """Create a handler from its dependencies."""
        self._context = context

    async def answer(self, req: Request) -> Answer:
        """Return the final answer to a request."""
        answer = await self._route(req)
        elapsed = self._context.clock() - req.received_at
        _metrics.record_request(answer.status, elapsed)
        return answer

    async def _route(self, req: Request) -> Answer:
        plan = self._context.planner.plan(req)
        if isinstance(plan, Answer):
            _log.note('request.not_routed', status=plan.status, path=req.path)
            return plan
        due_at = plan.answer_due_at + _ANSWER_GRACE_S
        try:
            async with self._context.timeouts.limit(due_at):
                refusal = await self._context.quota_gate.admit(plan)
                if refusal is not None:
                    return self._refuse(plan, refusal)
                return await self._run_attempts(plan)
        except TimeoutError:
            if self._context.timeouts.has_ended:
                _log.note('request.cut_off', **self._fields(plan))
            else:
                _log.note('request.timed_out', **self._fields(plan))
            return _answers.time_out(plan)
        except asyncio.CancelledError:
            _log.note('request.abandoned', **self._fields(plan))
            raise
        finally:
            self._context.quota_gate.settle(plan)

    async def _run_attempts(self, plan: Plan) -> Answer:
        self._context.retry_policy.record_first_attempt(plan.service)
        while True:
            choice = self._context.selector.select(plan)
            if isinstance(choice, Refusal):
                return self._refuse(plan, choice)
            outcome = await self._send_attempt(plan, choice)
            if isinstance(outcome, Ran) and not outcome.has_failed:
                self._log_answer(plan)
                return _answers.forward_answer(outcome)
            stop_reason = self._context.retry_policy.find_stop_reason(
                plan, outcome
            )
            if stop_reason is not None:
                return self._finish(plan, outcome, stop_reason)

    async def _send_attempt(self, plan: Plan, choice: Choice) -> Outcome:
        candidate = choice.candidate
        began_at = self._context.clock()
        attempt = plan.make_attempt(choice, began_at)
        plan.begin_attempt(candidate.daemon)
        try:
            reply = await self._context.fleet.call(candidate.daemon, attempt)
        finally:
            self._context.selector.record_time(plan, began_at)
        plan.end_attempt(candidate.daemon, reply.outcome)
        _metrics.count_attempt(reply.outcome)
        if isinstance(reply.outcome, Ran):
            self._context.selector.record(plan, choice, reply.outcome, began_at)
        self._log_failed_attempt(plan, choice, reply.outcome)
        return reply.outcome

    def _log_answer(self, plan: Plan) -> None:
        """Log late and retried answers, and a sample of the others."""
        age = self._context.clock() - plan.req.received_at
        is_late = age > plan.route.objective
        is_sampled = self._context.draw() < _LOGGED_FRACTION
        if is_late or plan.runs > 1 or is_sampled:
            _log.note('request.answered', **self._fields(plan, late=is_late))

    def _finish(self, plan: Plan, outcome: Outcome, stop_reason: str) -> Answer:
        if isinstance(outcome, Refusal):
            return self._refuse(plan, outcome)
        _log.note('request.failed', **self._fields(plan, cause=stop_reason))
        if isinstance(outcome, Ran):
            return _answers.forward_answer(outcome)
        return Answer(status=http.HTTPStatus.BAD_GATEWAY)

    def _refuse(self, plan: Plan, refusal: Refusal) -> Answer:
        cause = refusal.reason.value
        _log.note('request.refused', **self._fields(plan, cause=cause))
        return _answers.answer_refusal(plan, refusal, self._context.draw)

    def _log_failed_attempt(
        self,
        plan: Plan,
        choice: Choice,
        outcome: Outcome,
    ) -> None:
        if isinstance(outcome, Ran):
            if not outcome.has_failed:
                return
            cause = f'status {outcome.status}'
        elif isinstance(outcome, Lost):
            cause = outcome.reason
        elif outcome.is_busy:
            # A step of the search for a free slot.
            return
        else:
            cause = outcome.reason.value
        expected = choice.expected_wait + choice.service_time
        _log.note(
            'try.failed',
            **self._fields(plan, peer=choice.candidate.daemon, cause=cause),
            expected_ms=round(expected * _MS_PER_S),
        )

    def _fields(self, plan: Plan, **more: object) -> dict[str, object]:
        age = self._context.clock() - plan.req.received_at
        return {
            'request': plan.request_id,
            'route': plan.route.name,
            'service': plan.service,
            'version': plan.version,
            'runs': plan.runs,
            'asked': len(plan.tried),
            'age_ms': round(age * _MS_PER_S),
            **more,
        }
