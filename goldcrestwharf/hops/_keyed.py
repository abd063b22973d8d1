"""Run requests with an idempotency key at most once.

A claim on the platform's log goes before the dispatch. A caller that hangs
up doesn't cancel such a request, so that its repeat finds the answer.
"""

import anyio
import attrs

from goldcrestwharf.hops import _headers
from goldcrestwharf.hops._messages import (
    HopAnswer,
    HopOutcome,
    HopRefusal,
)
from goldcrestwharf.hops._plan import Plan
from goldcrestwharf.hops._repeats import EarlierCopy, explain_claim
from goldcrestwharf.hops._tries import Tries
from goldcrestwharf.limits import (
    ClaimEnd,
    ClaimResult,
    Claims,
    RefusalReason,
    Unavailable,
    Won,
)
from goldcrestwharf.timers import Timers
from goldcrestwharf.wire import encode

_LATIN = 'latin-1'
_RETRY_AFTER_S = 1.0


class KeyedRuns:
    """Claim the key of a request, run it and state how it ended."""

    def __init__(
        self,
        *,
        claims: Claims | None,
        tries: Tries,
        timers: Timers,
    ) -> None:
        """Run by ``tries`` what ``claims`` allows; without it, nothing."""
        self._claims = claims
        self._tries = tries
        self._timers = timers

    def concerns(self, plan: Plan) -> bool:
        """Tell whether the request needs a claim."""
        if plan.match.is_repeatable:
            return False
        return _find_key(plan) is not None

    async def run(self, plan: Plan) -> HopOutcome | EarlierCopy:
        """Return what the request comes to, or what its first copy did."""
        if self._claims is None:
            return _refuse_unclaimed(_RETRY_AFTER_S)
        with anyio.CancelScope(shield=True):
            claim = await self._claim(self._claims, plan)
            if isinstance(claim, Won):
                run = _ClaimedRun(claims=self._claims, won=claim, plan=plan)
                return await run.execute(self._tries)
        if isinstance(claim, Unavailable):
            return _refuse_unclaimed(claim.retry_after)
        return explain_claim(claim)

    async def _claim(self, claims: Claims, plan: Plan) -> ClaimResult:
        with self._timers.limit(plan.deadline.remaining()):
            return await claims.claim(
                key=_find_key(plan) or '',
                caller=plan.match.service_name,
                fingerprint=plan.fingerprint,
            )
        return Unavailable(retry_after=_RETRY_AFTER_S)


@attrs.define(kw_only=True)
class _ClaimedRun:
    """Run a request whose claim was won and state its end."""

    claims: Claims
    won: Won
    plan: Plan
    outcome: HopOutcome | None = None

    async def execute(self, tries: Tries) -> HopOutcome:
        """Return what the request comes to."""
        try:
            self.outcome = await self._dispatch(tries)
        finally:
            self._finish()
        return self.outcome

    async def _dispatch(self, tries: Tries) -> HopOutcome:
        if self.claims.may_dispatch(self.won):
            return await tries.run(self.plan)
        return _refuse_unclaimed(_RETRY_AFTER_S)

    def _finish(self) -> None:
        match self.outcome:
            case HopAnswer():
                answer = encode(attrs.evolve(self.outcome, load=None))
                self.claims.finish(self.won, ClaimEnd.DONE, answer=answer)
            case HopRefusal():
                self.claims.finish(self.won, ClaimEnd.NOT_RUN)
            case _:
                self.claims.finish(self.won, ClaimEnd.UNKNOWN)


def _find_key(plan: Plan) -> str | None:
    key = _headers.find(plan.req.headers, _headers.IDEMPOTENCY_KEY)
    return None if key is None else key.decode(_LATIN)


def _refuse_unclaimed(retry_after: float) -> HopRefusal:
    return HopRefusal(
        reason=RefusalReason.CLAIMS_UNAVAILABLE,
        retry_after=retry_after,
    )
