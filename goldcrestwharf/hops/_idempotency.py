"""Run requests with an idempotency key at most once.

The daemon claims the key in the platform's log before it dispatches the
request. A caller that disconnects doesn't cancel the request, so that a
duplicate can return the recorded answer.
"""

import anyio
import attrs

from goldcrestwharf.hops import _headers
from goldcrestwharf.hops._attempts import AttemptRunner
from goldcrestwharf.hops._duplicates import Duplicate, resolve_lost_claim
from goldcrestwharf.hops._messages import (
    HopAnswer,
    HopOutcome,
    HopRefusal,
)
from goldcrestwharf.hops._plan import Plan
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

_HEADER_ENCODING = 'latin-1'
_RETRY_AFTER_S = 1.0


class IdempotentRunner:
    """A runner of requests that claims their idempotency keys first."""

    def __init__(
        self,
        *,
        claims: Claims | None,
        attempt_runner: AttemptRunner,
        timers: Timers,
    ) -> None:
        """Run claimed requests with ``attempt_runner``.

        Without ``claims`` all requests with a key are refused.
        """
        self._claims = claims
        self._attempt_runner = attempt_runner
        self._timers = timers

    def applies_to(self, plan: Plan) -> bool:
        """Return whether the request needs a claim."""
        if plan.match.is_repeatable:
            return False
        return _find_key(plan) is not None

    async def run(self, plan: Plan) -> HopOutcome | Duplicate:
        """Return the outcome of the request or of an earlier duplicate."""
        if self._claims is None:
            return _refuse_unclaimed(_RETRY_AFTER_S)
        with anyio.CancelScope(shield=True):
            claim = await self._claim(self._claims, plan)
            if isinstance(claim, Won):
                run = _ClaimedRun(claims=self._claims, won=claim, plan=plan)
                return await run.execute(self._attempt_runner)
        if isinstance(claim, Unavailable):
            return _refuse_unclaimed(claim.retry_after)
        return resolve_lost_claim(claim)

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
    """A request whose claim was won, until its end is recorded."""

    claims: Claims
    won: Won
    plan: Plan
    outcome: HopOutcome | None = None

    async def execute(self, attempt_runner: AttemptRunner) -> HopOutcome:
        """Run the request and record its outcome."""
        try:
            self.outcome = await self._dispatch(attempt_runner)
        finally:
            self._finish()
        return self.outcome

    async def _dispatch(self, attempt_runner: AttemptRunner) -> HopOutcome:
        if self.claims.may_dispatch(self.won):
            return await attempt_runner.run(self.plan)
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
    return None if key is None else key.decode(_HEADER_ENCODING)


def _refuse_unclaimed(retry_after: float) -> HopRefusal:
    return HopRefusal(
        reason=RefusalReason.CLAIMS_UNAVAILABLE,
        retry_after=retry_after,
    )
