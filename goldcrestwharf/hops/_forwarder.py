"""Route a caller's request and try it on targets until it is settled."""

from goldcrestwharf.hops import _headers
from goldcrestwharf.hops._asgi import CallerRequest
from goldcrestwharf.hops._final import FinalAnswer, refuse, settle_unknown
from goldcrestwharf.hops._messages import (
    HopAnswer,
    HopOutcome,
    HopRefusal,
    RefusalReason,
)
from goldcrestwharf.hops._plan import Plan
from goldcrestwharf.hops._retries import Retries
from goldcrestwharf.hops._routes import Routes
from goldcrestwharf.hops._sender import Sender
from goldcrestwharf.hops._settings import HopsSettings
from goldcrestwharf.limits import Deadline
from goldcrestwharf.routing import TargetChooser
from goldcrestwharf.timers import Timers

_MS_PER_S = 1000


class Forwarder:
    """Turn each request of a caller into its final answer."""

    def __init__(
        self,
        *,
        routes: Routes,
        chooser: TargetChooser,
        sender: Sender,
        timers: Timers,
        cfg: HopsSettings,
    ) -> None:
        """Route by ``routes``, choose by ``chooser``, send by ``sender``."""
        self._routes = routes
        self._chooser = chooser
        self._sender = sender
        self._timers = timers
        self._retry_after = cfg.retry_after_ms / _MS_PER_S
        self._retries = Retries()

    async def forward(self, req: CallerRequest) -> FinalAnswer:
        """Return the answer that the caller gets."""
        plan = self._make_plan(req)
        if isinstance(plan, HopRefusal):
            return refuse(plan)
        outcome = await self._try_until_settled(plan)
        return _finish(outcome)

    def _make_plan(self, req: CallerRequest) -> Plan | HopRefusal:
        compiled = self._routes.current()
        if compiled is None:
            return self._refuse(RefusalReason.NO_CONFIGURATION)
        match = compiled.table.match(
            host=req.host,
            path=req.path,
            method=req.method,
        )
        if match is None:
            return HopRefusal(reason=RefusalReason.NO_ROUTE)
        allowed_ms = match.service.timeout_ms
        asked_ms = _headers.find_count(req.headers, _headers.DEADLINE)
        if asked_ms is not None:
            allowed_ms = min(allowed_ms, asked_ms)
        return Plan(
            req=req,
            match=match,
            group=compiled.objects.target_groups[match.service.target_group],
            deadline=Deadline(
                expires_at=self._timers.now() + allowed_ms / _MS_PER_S,
            ),
        )

    async def _try_until_settled(self, plan: Plan) -> HopOutcome:
        self._retries.note_first_try(plan)
        outcome = await self._try_once(plan)
        while self._retries.allow(plan, outcome, self._timers.now()):
            earlier = outcome
            outcome = await self._try_once(plan)
            if _is_without_target(outcome):
                return earlier
        return outcome

    async def _try_once(self, plan: Plan) -> HopOutcome:
        candidate = self._chooser.choose(
            plan.match.service.target_group,
            plan.group,
            frozenset(plan.tried),
        )
        if candidate is None:
            return self._refuse(RefusalReason.NO_TARGET)
        plan.tried.add(candidate.key)
        return await self._sender.send(plan, candidate)

    def _refuse(self, reason: RefusalReason) -> HopRefusal:
        return HopRefusal(reason=reason, retry_after=self._retry_after)


def _is_without_target(outcome: HopOutcome) -> bool:
    if isinstance(outcome, HopRefusal):
        return outcome.reason == RefusalReason.NO_TARGET
    return False


def _finish(outcome: HopOutcome) -> FinalAnswer:
    if isinstance(outcome, HopRefusal):
        return refuse(outcome)
    if isinstance(outcome, HopAnswer):
        return FinalAnswer(
            status=outcome.status,
            headers=outcome.headers,
            body=outcome.body,
        )
    return settle_unknown(outcome)
