"""Turn each request of a caller into its final answer."""

from opentelemetry.trace import SpanKind

from goldcrestwharf.hops import _headers
from goldcrestwharf.hops._admission import Admission
from goldcrestwharf.hops._asgi import CallerRequest
from goldcrestwharf.hops._final import FinalAnswer, finish
from goldcrestwharf.hops._keyed import KeyedRuns
from goldcrestwharf.hops._messages import HopOutcome, HopRefusal
from goldcrestwharf.hops._metrics import note_request
from goldcrestwharf.hops._plan import Plan
from goldcrestwharf.hops._planner import Planner
from goldcrestwharf.hops._repeats import EarlierCopy
from goldcrestwharf.hops._tracing import hop_span
from goldcrestwharf.hops._tries import Tries
from goldcrestwharf.timers import Timers

_LATIN = 'latin-1'


class Forwarder:
    """Route requests, refuse what can't run, and try the others."""

    def __init__(
        self,
        *,
        planner: Planner,
        admission: Admission,
        tries: Tries,
        keyed: KeyedRuns,
        timers: Timers,
    ) -> None:
        """Join the parts that decide on a request.

        ``keyed`` runs what carries an idempotency key, ``tries`` the rest.
        """
        self._planner = planner
        self._admission = admission
        self._tries = tries
        self._keyed = keyed
        self._timers = timers

    async def forward(self, req: CallerRequest) -> FinalAnswer:
        """Return the answer that the caller gets."""
        plan = self._planner.plan(req)
        if isinstance(plan, HopRefusal):
            note_request('', plan, 0)
            return finish(plan)
        started_at = self._timers.now()
        outcome = await self._run_traced(plan)
        duration = self._timers.now() - started_at
        note_request(plan.match.service_name, outcome, duration)
        return finish(outcome)

    async def _run_traced(self, plan: Plan) -> HopOutcome | EarlierCopy:
        headers = plan.req.headers
        received = _headers.find(headers, _headers.TRACEPARENT) or b''
        with hop_span(
            'goldcrestwharf.forward',
            received.decode(_LATIN),
            SpanKind.SERVER,
        ) as traceparent:
            plan.traceparent = traceparent
            return await self._run_admitted(plan)

    async def _run_admitted(self, plan: Plan) -> HopOutcome | EarlierCopy:
        refusal = self._admission.enter(plan)
        if refusal is not None:
            return refusal
        try:
            return await self._run(plan)
        finally:
            self._admission.leave(plan)

    async def _run(self, plan: Plan) -> HopOutcome | EarlierCopy:
        if self._keyed.concerns(plan):
            return await self._keyed.run(plan)
        return await self._tries.run(plan)
