"""Take the requests of callers to their targets and back."""

import asyncio
import http
from collections.abc import Callable

import attrs

from goldcrestwharf.admission import Leaving, Refusal, RefusalReason
from goldcrestwharf.http1 import Answer, Request
from goldcrestwharf.loglines import EventLog
from goldcrestwharf.placement import Choice, Demand, Placement, TransferCosts
from goldcrestwharf.proxy._fleet import Fleet
from goldcrestwharf.proxy._outcomes import Lost, Outcome, Ran
from goldcrestwharf.proxy._plan import Plan
from goldcrestwharf.proxy._planner import Planner, refuse
from goldcrestwharf.proxy._repeats import Repeats

_log = EventLog(__name__)

#: Seconds past the limit of a request in which an answer is still awaited.
_GRACE_S = 0.06

#: Daemons asked for one request at most, those that refuse included.
_MAX_ASKED = 6

#: Bounds of the time that refused callers are asked to stay away, in seconds.
_LEAST_RETRY_AFTER_S = 0.03
_MOST_RETRY_AFTER_S = 1.0


@attrs.frozen(kw_only=True)
class EntryContext:
    """Hold what the entry decides by."""

    planner: Planner
    placement: Placement
    costs: TransferCosts
    fleet: Fleet
    repeats: Repeats
    leaving: Leaving
    clock: Callable[[], float]
    draw: Callable[[], float]


class Entry:
    """Answer each request of a caller with one whole answer."""

    def __init__(self, *, context: EntryContext) -> None:
        """Decide by ``context``."""
        self._context = context

    async def answer(self, req: Request) -> Answer:
        """Return the final answer of a request."""
        plan = self._context.planner.plan(req)
        if isinstance(plan, Answer):
            _log.note(
                'request.not_routed',
                status=plan.status,
                path=req.path,
            )
            return plan
        self._context.repeats.note_first(plan.service)
        try:
            async with asyncio.timeout_at(plan.limit_at + _GRACE_S):
                return await self._pursue(plan)
        except TimeoutError:
            return self._give_up(plan)

    async def _pursue(self, plan: Plan) -> Answer:
        while True:
            choice = self._choose(plan)
            if isinstance(choice, Refusal):
                return self._refuse(plan, choice)
            outcome = await self._try(plan, choice)
            if isinstance(outcome, Ran) and not outcome.has_failed:
                return Answer(
                    status=outcome.status,
                    head=outcome.head,
                    body=outcome.body,
                )
            obstacle = self._context.repeats.find_obstacle(plan, outcome)
            if obstacle is not None:
                return self._finish(plan, outcome, obstacle)

    def _choose(self, plan: Plan) -> Choice | Refusal:
        context = self._context
        now = context.clock()
        left = plan.limit_at - now
        if not (plan.tried or context.leaving.takes(plan.route.objective)):
            return Refusal(
                reason=RefusalReason.LEAVING,
                retry_after=plan.route.objective,
            )
        if left <= 0:
            return Refusal(reason=RefusalReason.TOO_LATE)
        if len(plan.tried) >= _MAX_ASKED:
            return Refusal(reason=RefusalReason.OVERLOADED)
        choice = context.placement.choose(
            context.fleet.places(plan.service),
            Demand(
                objective=plan.route.objective,
                left=left,
                zone_preference=context.costs.preference(plan.route.name),
                tried=frozenset(plan.tried),
            ),
            now,
        )
        if choice is None:
            reason = RefusalReason.NO_TARGET
            return Refusal(reason=reason, retry_after=plan.route.objective)
        return choice

    async def _try(self, plan: Plan, choice: Choice) -> Outcome:
        place = choice.place
        plan.tried.add(place.daemon)
        order = plan.make_order(place.instance_id, self._context.clock())
        # Until the outcome is known, the target may be running it.
        before = plan.last_lost
        plan.last_lost = Lost(reason='no answer in time')
        reply = await self._context.fleet.call(place.daemon, order)
        outcome = reply.outcome
        plan.last_lost = outcome if isinstance(outcome, Lost) else before
        if isinstance(outcome, Ran):
            plan.last_ran = outcome
            self._context.costs.note(
                plan.route.name,
                len(plan.req.body) + len(outcome.body),
            )
        if not isinstance(outcome, Refusal) or outcome.reached_target:
            plan.runs += 1
        if not isinstance(outcome, Ran) or outcome.has_failed:
            self._log_try(plan, choice, outcome)
        return outcome

    def _finish(self, plan: Plan, outcome: Outcome, obstacle: str) -> Answer:
        if isinstance(outcome, Refusal):
            return self._refuse(plan, outcome)
        _log.note(
            'request.failed',
            **self._fields(plan, cause=obstacle),
        )
        if isinstance(outcome, Ran):
            return Answer(
                status=outcome.status,
                head=outcome.head,
                body=outcome.body,
            )
        return Answer(status=http.HTTPStatus.BAD_GATEWAY)

    def _refuse(self, plan: Plan, refusal: Refusal) -> Answer:
        _log.note(
            'request.refused',
            **self._fields(plan, cause=refusal.reason.value),
        )
        if plan.last_ran is not None:
            ran = plan.last_ran
            return Answer(status=ran.status, head=ran.head, body=ran.body)
        if plan.last_lost is not None:
            return Answer(status=http.HTTPStatus.BAD_GATEWAY)
        wait = min(
            max(refusal.retry_after, _LEAST_RETRY_AFTER_S),
            _MOST_RETRY_AFTER_S,
        )
        # Spread over as much again, so that callers don't return together.
        return refuse(retry_after=wait * (1 + self._context.draw()))

    def _give_up(self, plan: Plan) -> Answer:
        _log.note('request.timed_out', **self._fields(plan))
        if plan.may_have_run:
            return Answer(status=http.HTTPStatus.GATEWAY_TIMEOUT)
        return refuse(retry_after=_LEAST_RETRY_AFTER_S)

    def _log_try(self, plan: Plan, choice: Choice, outcome: Outcome) -> None:
        fields = self._fields(plan, peer=choice.place.daemon)
        if isinstance(outcome, Ran):
            fields['status'] = outcome.status
        elif isinstance(outcome, Lost):
            fields['cause'] = outcome.reason
        else:
            fields['cause'] = outcome.reason.value
        fields['expected_ms'] = round(choice.answer_in * 1000)
        _log.note('try.failed', **fields)

    def _fields(self, plan: Plan, **more: object) -> dict[str, object]:
        now = self._context.clock()
        return {
            'request': plan.request_id,
            'route': plan.route.name,
            'service': plan.service,
            'version': plan.version,
            'runs': plan.runs,
            'asked': len(plan.tried),
            'age_ms': round((now - plan.req.received_at) * 1000),
            **more,
        }
