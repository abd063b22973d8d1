"""Make attempts of a request at chosen targets."""

import attrs

from goldcrestwharf.hops._messages import HopOutcome, HopReason, HopRefusal
from goldcrestwharf.hops._outcome_kinds import classify_outcome
from goldcrestwharf.hops._plan import Plan
from goldcrestwharf.hops._retries import RetryLimiter
from goldcrestwharf.hops._sender import Sender
from goldcrestwharf.routing import Candidate, TargetChooser, TargetOutcome
from goldcrestwharf.timers import Timers


class AttemptRunner:
    """The loop of attempts at targets that runs a request."""

    def __init__(
        self,
        *,
        chooser: TargetChooser,
        sender: Sender,
        retries: RetryLimiter,
        timers: Timers,
    ) -> None:
        """Choose targets by ``chooser`` and limit retries by ``retries``."""
        self._chooser = chooser
        self._sender = sender
        self._retries = retries
        self._timers = timers

    async def run(self, plan: Plan) -> HopOutcome:
        """Return the outcome of the request after all attempts.

        If an attempt may have run, its outcome is returned in place of a
        later refusal, which would state that the request did not run.
        """
        self._retries.record_first_attempt(plan)
        outcome = await self._attempt_next(plan)
        possibly_run = outcome
        while self._retries.allow(plan, outcome):
            outcome = await self._attempt_next(plan)
            if not isinstance(outcome, HopRefusal):
                possibly_run = outcome
            elif outcome.reason == HopReason.NO_TARGET:
                break
        return possibly_run if isinstance(outcome, HopRefusal) else outcome

    async def _attempt_next(self, plan: Plan) -> HopOutcome:
        candidate = self._choose(plan)
        if candidate is None:
            return HopRefusal(reason=HopReason.NO_TARGET)
        return await self._attempt_once(plan, candidate)

    def _choose(self, plan: Plan) -> Candidate | None:
        return self._chooser.choose(
            plan.group_name,
            plan.group,
            exclude=frozenset(plan.tried),
            may_probe=plan.match.is_repeatable and not plan.tried,
        )

    async def _attempt_once(
        self, plan: Plan, candidate: Candidate
    ) -> HopOutcome:
        plan.tried.add(candidate.key)
        plan.attempts += 1
        attempt = _AttemptRecord(
            candidate=candidate, started_at=self._timers.now()
        )
        try:
            attempt.outcome = await self._sender.send(plan, candidate)
        finally:
            self._chooser.record_outcome(
                attempt.to_target_outcome(self._timers.now())
            )
        return attempt.outcome


@attrs.define(kw_only=True)
class _AttemptRecord:
    """An attempt in progress; ``outcome`` is ``None`` if it is cancelled."""

    candidate: Candidate
    started_at: float
    outcome: HopOutcome | None = None

    def to_target_outcome(self, now: float) -> TargetOutcome:
        """Return the result of the attempt for the choice of targets."""
        return TargetOutcome(
            key=self.candidate.key,
            kind=classify_outcome(self.outcome),
            load=None if self.outcome is None else self.outcome.load,
            latency=now - self.started_at,
        )
