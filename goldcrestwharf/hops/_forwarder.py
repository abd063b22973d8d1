"""Handle requests of callers from routing to the final answer."""

from opentelemetry.trace import SpanKind

from goldcrestwharf.hops import _headers
from goldcrestwharf.hops._admission import Admission
from goldcrestwharf.hops._asgi import CallerRequest
from goldcrestwharf.hops._attempts import AttemptRunner
from goldcrestwharf.hops._duplicates import Duplicate
from goldcrestwharf.hops._final import FinalAnswer, make_final_answer
from goldcrestwharf.hops._idempotency import IdempotentRunner
from goldcrestwharf.hops._messages import HopOutcome, HopRefusal
from goldcrestwharf.hops._metrics import record_request
from goldcrestwharf.hops._plan import Plan
from goldcrestwharf.hops._planner import Planner
from goldcrestwharf.hops._tracing import hop_span
from goldcrestwharf.timers import Timers

_HEADER_ENCODING = 'latin-1'


class Forwarder:
    """The request path from routing and admission to the final answer."""

    def __init__(
        self,
        *,
        planner: Planner,
        admission: Admission,
        attempt_runner: AttemptRunner,
        idempotent_runner: IdempotentRunner,
        timers: Timers,
    ) -> None:
        """Create a forwarder.

        ``idempotent_runner`` runs requests with an idempotency key and
        ``attempt_runner`` all others.
        """
        self._planner = planner
        self._admission = admission
        self._attempt_runner = attempt_runner
        self._idempotent_runner = idempotent_runner
        self._timers = timers

    async def forward(self, req: CallerRequest) -> FinalAnswer:
        """Return the final answer to ``req``."""
        plan = self._planner.plan(req)
        if isinstance(plan, HopRefusal):
            record_request('', plan, 0)
            return make_final_answer(plan)
        started_at = self._timers.now()
        outcome = await self._run_traced(plan)
        duration = self._timers.now() - started_at
        record_request(plan.match.service_name, outcome, duration)
        return make_final_answer(outcome)

    async def _run_traced(self, plan: Plan) -> HopOutcome | Duplicate:
        headers = plan.req.headers
        received = _headers.find(headers, _headers.TRACEPARENT) or b''
        with hop_span(
            'goldcrestwharf.forward',
            received.decode(_HEADER_ENCODING),
            SpanKind.SERVER,
        ) as traceparent:
            plan.traceparent = traceparent
            return await self._run_admitted(plan)

    async def _run_admitted(self, plan: Plan) -> HopOutcome | Duplicate:
        refusal = self._admission.enter(plan)
        if refusal is not None:
            return refusal
        try:
            return await self._run(plan)
        finally:
            self._admission.leave(plan)

    async def _run(self, plan: Plan) -> HopOutcome | Duplicate:
        if self._idempotent_runner.applies_to(plan):
            return await self._idempotent_runner.run(plan)
        return await self._attempt_runner.run(plan)
