"""Turn each request of a caller into its final answer."""

from goldcrestwharf.hops._asgi import CallerRequest
from goldcrestwharf.hops._final import FinalAnswer, finish
from goldcrestwharf.hops._keyed import KeyedRuns
from goldcrestwharf.hops._messages import HopOutcome, HopRefusal
from goldcrestwharf.hops._plan import Plan
from goldcrestwharf.hops._planner import Planner
from goldcrestwharf.hops._repeats import EarlierCopy
from goldcrestwharf.hops._tries import Tries
from goldcrestwharf.limits import CallerShares, CrashGuard, Entry, Refusal


class Forwarder:
    """Route requests, refuse what can't run, and try the others."""

    def __init__(
        self,
        *,
        planner: Planner,
        tries: Tries,
        keyed: KeyedRuns,
        shares: CallerShares,
        guard: CrashGuard,
    ) -> None:
        """Join the parts that decide on a request.

        ``keyed`` runs what carries an idempotency key, ``shares`` and
        ``guard`` say what is refused at once.
        """
        self._planner = planner
        self._tries = tries
        self._keyed = keyed
        self._shares = shares
        self._guard = guard

    async def forward(self, req: CallerRequest) -> FinalAnswer:
        """Return the answer that the caller gets."""
        plan = self._planner.plan(req)
        if isinstance(plan, HopRefusal):
            return finish(plan)
        refusal = self._guard.verdict(plan.fingerprint)
        if refusal is not None:
            return finish(_tell(refusal))
        return finish(await self._run_shared(plan))

    async def _run_shared(self, plan: Plan) -> HopOutcome | EarlierCopy:
        entry = Entry(
            caller=plan.req.caller,
            service=plan.match.service_name,
        )
        refusal = self._shares.enter(entry)
        if refusal is not None:
            return _tell(refusal)
        try:
            return await self._run(plan)
        finally:
            self._shares.leave(entry)

    async def _run(self, plan: Plan) -> HopOutcome | EarlierCopy:
        if self._keyed.concerns(plan):
            return await self._keyed.run(plan)
        return await self._tries.run(plan)


def _tell(refusal: Refusal) -> HopRefusal:
    return HopRefusal(reason=refusal.reason, retry_after=refusal.retry_after)
