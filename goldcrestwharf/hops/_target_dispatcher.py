"""Run requests on the targets of the local VM.

Only the daemon on the VM of the target decides whether a request is
dispatched. A request that it refuses has not run and never will.
"""

from opentelemetry.trace import SpanKind

from goldcrestwharf.hops._admission import admit_to_target
from goldcrestwharf.hops._in_flight import InFlight
from goldcrestwharf.hops._messages import (
    HopAnswer,
    HopOutcome,
    HopReason,
    HopRefusal,
    HopRequest,
)
from goldcrestwharf.hops._target_run import TargetRun, TargetRuns
from goldcrestwharf.hops._tracing import hop_span
from goldcrestwharf.limits import RefusalReason
from goldcrestwharf.membership import MembershipView, Target, TargetState
from goldcrestwharf.quarantine import CrashGuard
from goldcrestwharf.timers import Timers


class TargetDispatcher:
    """A dispatcher of requests to the targets of this VM.

    ``in_flight`` counts the requests accepted and not yet answered.
    """

    def __init__(
        self,
        *,
        view: MembershipView,
        runs: TargetRuns,
        guard: CrashGuard,
        timers: Timers,
    ) -> None:
        """Serve the targets that are on this VM according to ``view``."""
        self.in_flight = InFlight()
        self._view = view
        self._runs = runs
        self._guard = guard
        self._timers = timers

    async def answer(self, req: HopRequest) -> HopOutcome:
        """Run ``req`` on its target unless it is refused."""
        target = self._find_target(req)
        if target is None:
            return HopRefusal(reason=HopReason.TARGET_UNKNOWN)
        if self.in_flight.is_draining or target.state is TargetState.LEAVING:
            return HopRefusal(reason=RefusalReason.LEAVING)
        refusal = admit_to_target(self._guard, req.fingerprint)
        if refusal is not None:
            return HopRefusal(
                reason=refusal.reason,
                retry_after=refusal.retry_after,
            )
        with (
            self.in_flight.count(),
            hop_span(
                'goldcrestwharf.dispatch',
                req.traceparent,
                SpanKind.CLIENT,
            ) as traceparent,
        ):
            run = self._runs.prepare(req, target, traceparent)
            return await self._run_limited(run)

    def report_crash(self, address: str) -> None:
        """Report a crash of the target at ``address`` that is certain."""
        self._runs.crash_detector.report_crash(address)

    async def drain(self) -> None:
        """Refuse new requests and wait until all accepted are answered."""
        await self.in_flight.drain()
        await self._runs.close()

    async def _run_limited(self, run: TargetRun) -> HopOutcome:
        with self._timers.limit(run.deadline.remaining()):
            return await self._run_and_record(run)
        return run.time_out()

    async def _run_and_record(self, run: TargetRun) -> HopOutcome:
        outcome = await run.execute()
        # A target may fail a request before it reaches what crashes the target.
        if isinstance(outcome, HopAnswer) and not outcome.has_failed:
            self._guard.record_completion(run.req.fingerprint)
        return outcome

    def _find_target(self, req: HopRequest) -> Target | None:
        for target in self._view.local_member().targets:
            if target.name == req.target and target.group == req.group:
                return target
        return None
