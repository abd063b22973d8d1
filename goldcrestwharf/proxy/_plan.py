"""Hold what is decided about one request of a caller."""

import attrs

from goldcrestwharf.admission import Refusal
from goldcrestwharf.http1 import Request
from goldcrestwharf.policy import RoutePolicy
from goldcrestwharf.proxy._order import RunOrder
from goldcrestwharf.proxy._outcomes import Lost, Outcome, Ran


@attrs.define(kw_only=True, eq=False)
class Plan:
    """Hold a request, its route, and the tries made so far.

    ``limit_at`` is the monotonic time, in seconds, of its final answer: the
    earlier of the caller's deadline and the route's timeout. ``tried``
    names the daemons that were asked, ``runs`` counts the tries that may
    have reached a target.
    """

    req: Request
    request_id: str
    route: RoutePolicy
    service: str
    version: int
    head: bytes
    limit_at: float
    tried: set[str] = attrs.field(factory=set)
    runs: int = 0
    last_lost: Lost | None = None
    last_ran: Ran | None = None
    _lost_before: Lost | None = attrs.field(default=None, init=False)

    @property
    def may_have_run(self) -> bool:
        """Tell whether a target may have run the request."""
        return self.last_lost is not None or self.last_ran is not None

    def begin_try(self, daemon: str) -> None:
        """Note a try; until its outcome is known, the target may run it."""
        self.tried.add(daemon)
        self._lost_before = self.last_lost
        self.last_lost = Lost(reason='no answer in time')

    def end_try(self, outcome: Outcome) -> None:
        """Note what became of the try."""
        self.last_lost = self._lost_before
        if isinstance(outcome, Lost):
            self.last_lost = outcome
        elif isinstance(outcome, Ran):
            self.last_ran = outcome
        if not isinstance(outcome, Refusal) or outcome.reached_target:
            self.runs += 1

    def make_order(self, instance_id: str, now: float) -> RunOrder:
        """Return the order for a try at one instance."""
        objective_at = self.req.received_at + self.route.objective
        return RunOrder(
            request_id=self.request_id,
            request_class=self.route.name,
            service=self.service,
            instance_id=instance_id,
            priority=self.route.priority,
            left=self.limit_at - now,
            objective_left=max(objective_at - now, 0),
            is_repeatable=self.route.is_repeatable,
            head=self.head,
            body=self.req.body,
        )
