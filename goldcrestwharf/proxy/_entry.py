"""Take the requests of callers to their targets and back."""

import asyncio
import http
from collections.abc import Callable

import attrs

from goldcrestwharf.admission import Refusal
from goldcrestwharf.http1 import Answer, Request
from goldcrestwharf.loglines import EventLog
from goldcrestwharf.placement import Choice
from goldcrestwharf.proxy import _answers, _metrics
from goldcrestwharf.proxy._chooser import Chooser
from goldcrestwharf.proxy._fleet import Fleet
from goldcrestwharf.proxy._outcomes import Lost, Outcome, Ran
from goldcrestwharf.proxy._plan import Plan
from goldcrestwharf.proxy._planner import Planner
from goldcrestwharf.proxy._repeats import Repeats

_log = EventLog(__name__)

_MS_PER_S = 1000

#: Seconds past the limit of a request in which an answer is still awaited.
_GRACE_S = 0.06

#: Share of the plain successes that are logged.
_SAMPLED_SHARE = 0.02


@attrs.frozen(kw_only=True)
class EntryContext:
    """Hold what the entry decides by; ``draw`` returns 0 to 1 at random."""

    planner: Planner
    chooser: Chooser
    fleet: Fleet
    repeats: Repeats
    clock: Callable[[], float]
    draw: Callable[[], float]


class Entry:
    """Answer each request of a caller with one whole answer."""

    def __init__(self, *, context: EntryContext) -> None:
        """Decide by ``context``."""
        self._context = context

    async def answer(self, req: Request) -> Answer:
        """Return the final answer of a request."""
        answer = await self._find_answer(req)
        elapsed = self._context.clock() - req.received_at
        _metrics.record_request(answer.status, elapsed)
        return answer

    async def _find_answer(self, req: Request) -> Answer:
        plan = self._context.planner.plan(req)
        if isinstance(plan, Answer):
            _log.note('request.not_routed', status=plan.status, path=req.path)
            return plan
        self._context.repeats.record_first_attempt(plan.service)
        try:
            async with asyncio.timeout_at(plan.limit_at + _GRACE_S):
                return await self._pursue(plan)
        except TimeoutError:
            _log.note('request.timed_out', **self._fields(plan))
            return _answers.give_up(plan)
        except asyncio.CancelledError:
            _log.note('request.abandoned', **self._fields(plan))
            raise

    async def _pursue(self, plan: Plan) -> Answer:
        while True:
            choice = self._context.chooser.choose(plan)
            if isinstance(choice, Refusal):
                return self._refuse(plan, choice)
            outcome = await self._try(plan, choice)
            if isinstance(outcome, Ran) and not outcome.has_failed:
                self._log_answer(plan)
                return _answers.pass_on(outcome)
            obstacle = self._context.repeats.find_obstacle(plan, outcome)
            if obstacle is not None:
                return self._finish(plan, outcome, obstacle)

    async def _try(self, plan: Plan, choice: Choice) -> Outcome:
        candidate = choice.candidate
        began_at = self._context.clock()
        order = plan.make_order(candidate.instance_id, began_at)
        plan.begin_try(candidate.daemon)
        reply = await self._context.fleet.call(candidate.daemon, order)
        plan.end_try(reply.outcome)
        _metrics.count_try(reply.outcome)
        if isinstance(reply.outcome, Ran):
            self._context.chooser.learn(plan, choice, reply.outcome, began_at)
        self._log_failed_try(plan, choice, reply.outcome)
        return reply.outcome

    def _log_answer(self, plan: Plan) -> None:
        """Log what came late or after a failed try, and a sample of others."""
        age = self._context.clock() - plan.req.received_at
        is_late = age > plan.route.objective
        is_sampled = self._context.draw() < _SAMPLED_SHARE
        if is_late or plan.runs > 1 or is_sampled:
            _log.note('request.answered', **self._fields(plan, late=is_late))

    def _finish(self, plan: Plan, outcome: Outcome, obstacle: str) -> Answer:
        if isinstance(outcome, Refusal):
            return self._refuse(plan, outcome)
        _log.note('request.failed', **self._fields(plan, cause=obstacle))
        if isinstance(outcome, Ran):
            return _answers.pass_on(outcome)
        return Answer(status=http.HTTPStatus.BAD_GATEWAY)

    def _refuse(self, plan: Plan, refusal: Refusal) -> Answer:
        cause = refusal.reason.value
        _log.note('request.refused', **self._fields(plan, cause=cause))
        # Spread over as much again, so that callers don't return together.
        spread = 1 + self._context.draw()
        wait = max(refusal.retry_after, _answers.LEAST_RETRY_AFTER_S)
        return _answers.answer_refusal(plan, wait * spread)

    def _log_failed_try(
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
