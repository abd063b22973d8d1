"""Plan of one caller's request."""

import attrs

from goldcrestwharf.admission import Refusal
from goldcrestwharf.http1 import Request
from goldcrestwharf.policy import RoutePolicy
from goldcrestwharf.proxy._attempt import Attempt
from goldcrestwharf.proxy._outcomes import Lost, Outcome, Ran
from goldcrestwharf.workspaces import Workspace


@attrs.define(kw_only=True, eq=False)
class Plan:
    """Request with its route and the attempts made so far.

    ``answer_due_at`` is the monotonic time for the final answer, in seconds:
    the earlier of the caller's deadline and the route's timeout. ``tried``
    names the daemons that were asked. ``runs`` counts the attempts that may
    have reached a target. ``workspace`` is that of the caller, if any.
    ``retry_after`` is the least time in seconds after which one of the daemons
    that refused a request with a large body may take it.
    """

    req: Request
    request_id: str
    route: RoutePolicy
    service: str
    version: int
    head: bytes
    answer_due_at: float
    workspace: Workspace | None = None
    tried: set[str] = attrs.field(factory=set)
    runs: int = 0
    last_lost: Lost | None = None
    last_ran: Ran | None = None
    retry_after: float | None = None
    _earlier_lost: Lost | None = attrs.field(default=None, init=False)

    @property
    def may_have_run(self) -> bool:
        """Return whether a target may have run the request."""
        return self.last_lost is not None or self.last_ran is not None

    def begin_attempt(self, daemon: str) -> None:
        """Record an attempt; it may run until its outcome is known."""
        self.tried.add(daemon)
        self._earlier_lost = self.last_lost
        self.last_lost = Lost(reason='no answer in time')

    def end_attempt(self, outcome: Outcome) -> None:
        """Record the outcome of the attempt."""
        self.last_lost = self._earlier_lost
        if isinstance(outcome, Lost):
            self.last_lost = outcome
        elif isinstance(outcome, Ran):
            self.last_ran = outcome
        else:
            self._record_refusal(outcome)
        if not isinstance(outcome, Refusal) or outcome.reached_target:
            self.runs += 1

    def make_attempt(self, instance_id: str, now: float) -> Attempt:
        """Return the attempt for one instance."""
        objective_at = self.req.received_at + self.route.objective
        return Attempt(
            request_id=self.request_id,
            request_class=self.route.name,
            service=self.service,
            instance_id=instance_id,
            priority=self.route.priority,
            left=self.answer_due_at - now,
            objective_left=max(objective_at - now, 0),
            is_repeatable=self.route.is_repeatable,
            head=self.head,
            body=self.req.body,
        )

    def _record_refusal(self, refusal: Refusal) -> None:
        if self.route.is_bulk and refusal.retry_after:
            known = self.retry_after or refusal.retry_after
            self.retry_after = min(known, refusal.retry_after)
