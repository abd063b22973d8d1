"""Plan of one caller's request."""

import math

import attrs

from goldcrestwharf.admission import Refusal
from goldcrestwharf.http1 import Request
from goldcrestwharf.placement import Choice
from goldcrestwharf.policy import RoutePolicy
from goldcrestwharf.proxy._attempt import Attempt
from goldcrestwharf.proxy._outcomes import Lost, Outcome, Ran
from goldcrestwharf.quotas import Token
from goldcrestwharf.workspaces import Workspace

#: Number of priorities of routes within one priority of a workspace.
_ROUTE_PRIORITIES = 100


@attrs.define(kw_only=True, eq=False)
class Plan:
    """Request with its route and the attempts made so far.

    ``answer_due_at`` is the monotonic time for the final answer, in seconds:
    the earlier of the caller's deadline and the route's timeout. ``tried``
    names the daemons that were asked, ``busy`` those of them whose targets had
    no free slot when that was needed. ``runs`` counts the attempts that may
    have reached a target. ``workspace`` is that of the caller, if any.
    ``token`` is the one that the request took, if its workspace has a limit.
    """

    req: Request
    request_id: str
    route: RoutePolicy
    service: str
    version: int
    head: bytes
    answer_due_at: float
    workspace: Workspace | None = None
    adapts_to_load: bool = False
    token: Token | None = None
    tried: set[str] = attrs.field(factory=set)
    busy: set[str] = attrs.field(factory=set)
    runs: int = 0
    last_lost: Lost | None = None
    last_ran: Ran | None = None
    _retry_after: float = attrs.field(default=math.inf, init=False)
    _earlier_lost: Lost | None = attrs.field(default=None, init=False)

    @property
    def may_have_run(self) -> bool:
        """Return whether a target may have run the request."""
        return self.last_lost is not None or self.last_ran is not None

    @property
    def priority(self) -> int:
        """Return the priority; the workspace's precedes the route's."""
        route_priority = self.route.priority
        if self.workspace is None:
            return route_priority
        return self.workspace.priority * _ROUTE_PRIORITIES + min(
            route_priority, _ROUTE_PRIORITIES - 1
        )

    def begin_attempt(self, daemon: str) -> None:
        """Record an attempt; it may run until its outcome is known."""
        self.tried.add(daemon)
        self.busy.discard(daemon)
        self._earlier_lost = self.last_lost
        self.last_lost = Lost(reason='no answer in time')

    def end_attempt(self, daemon: str, outcome: Outcome) -> None:
        """Record the outcome of the attempt."""
        if isinstance(outcome, Refusal) and outcome.is_busy:
            self.busy.add(daemon)
        self.last_lost = self._earlier_lost
        if isinstance(outcome, Lost):
            self.last_lost = outcome
        elif isinstance(outcome, Ran):
            self.last_ran = outcome
        if not isinstance(outcome, Refusal) or outcome.reached_target:
            self.runs += 1
        elif outcome.retry_after:
            self._retry_after = min(self._retry_after, outcome.retry_after)

    def find_retry_after(self, refusal: Refusal) -> float:
        """Return the seconds after which a retry has a chance.

        Where the configuration adapts to load, that is the shortest time that
        a daemon beside a target named; the last refusal may be one for want
        of another target.
        """
        if self.adapts_to_load and math.isfinite(self._retry_after):
            return self._retry_after
        return refusal.retry_after

    def make_attempt(self, choice: Choice, now: float) -> Attempt:
        """Return the attempt at a chosen target."""
        objective_at = self.req.received_at + self.route.objective
        return Attempt(
            request_id=self.request_id,
            request_class=self.route.name,
            service=self.service,
            instance_id=choice.candidate.instance_id,
            priority=self.priority,
            left=self.answer_due_at - now,
            objective_left=max(objective_at - now, 0),
            is_repeatable=self.route.is_repeatable,
            head=self.head,
            body=self.req.body,
            workspace='' if self.workspace is None else self.workspace.name,
            needs_free_slot=choice.needs_free_slot,
        )
