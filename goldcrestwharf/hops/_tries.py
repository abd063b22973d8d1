"""Make tries of a request at chosen targets."""

import attrs

from goldcrestwharf.hops._evidence import judge
from goldcrestwharf.hops._messages import HopOutcome, HopReason, HopRefusal
from goldcrestwharf.hops._plan import Plan
from goldcrestwharf.hops._retries import Retries
from goldcrestwharf.hops._sender import Sender
from goldcrestwharf.routing import Candidate, TargetChooser, TargetOutcome
from goldcrestwharf.timers import Timers


class Tries:
    """Try requests on targets until nothing more may be tried."""

    def __init__(
        self,
        *,
        chooser: TargetChooser,
        sender: Sender,
        retries: Retries,
        timers: Timers,
    ) -> None:
        """Choose by ``chooser``, send by ``sender``, bound by ``retries``."""
        self._chooser = chooser
        self._sender = sender
        self._retries = retries
        self._timers = timers

    async def run(self, plan: Plan) -> HopOutcome:
        """Return what the request comes to in the end.

        Once a try may have run, a later refusal doesn't make the request
        one that did not run.
        """
        self._retries.note_first_try(plan)
        outcome = await self._try_next(plan)
        worst = outcome
        while self._retries.allow(plan, outcome):
            outcome = await self._try_next(plan)
            if not isinstance(outcome, HopRefusal):
                worst = outcome
            elif outcome.reason == HopReason.NO_TARGET:
                break
        return worst if isinstance(outcome, HopRefusal) else outcome

    async def _try_next(self, plan: Plan) -> HopOutcome:
        candidate = self._choose(plan)
        if candidate is None:
            return HopRefusal(reason=HopReason.NO_TARGET)
        return await self._try_once(plan, candidate)

    def _choose(self, plan: Plan) -> Candidate | None:
        return self._chooser.choose(
            plan.group_name,
            plan.group,
            exclude=frozenset(plan.tried),
            may_probe=plan.match.is_repeatable and not plan.tried,
        )

    async def _try_once(self, plan: Plan, candidate: Candidate) -> HopOutcome:
        plan.tried.add(candidate.key)
        plan.tries += 1
        watch = _Watch(candidate=candidate, started_at=self._timers.now())
        try:
            watch.outcome = await self._sender.send(plan, candidate)
        finally:
            self._chooser.record_outcome(watch.testify(self._timers.now()))
        return watch.outcome


@attrs.define(kw_only=True)
class _Watch:
    """Follow one try; without an outcome it was given up."""

    candidate: Candidate
    started_at: float
    outcome: HopOutcome | None = None

    def testify(self, now: float) -> TargetOutcome:
        """Return what the try says of its target."""
        return TargetOutcome(
            key=self.candidate.key,
            kind=judge(self.outcome),
            load=None if self.outcome is None else self.outcome.load,
            latency=now - self.started_at,
        )
