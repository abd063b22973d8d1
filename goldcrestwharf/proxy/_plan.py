"""Hold what is decided about one request of a caller."""

import attrs

from goldcrestwharf.http1 import Request
from goldcrestwharf.policy import RoutePolicy
from goldcrestwharf.proxy._order import RunOrder
from goldcrestwharf.proxy._outcomes import Lost, Ran


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

    @property
    def may_have_run(self) -> bool:
        """Tell whether a target may have run the request."""
        return self.last_lost is not None or self.last_ran is not None

    def make_order(self, instance_id: str, now: float) -> RunOrder:
        """Return the order for a try at one instance."""
        objective_at = self.req.received_at + self.route.objective
        return RunOrder(
            request_id=self.request_id,
            kind=self.route.name,
            service=self.service,
            instance_id=instance_id,
            priority=self.route.priority,
            left=self.limit_at - now,
            objective_left=max(objective_at - now, 0),
            is_repeatable=self.route.is_repeatable,
            head=self.head,
            body=self.req.body,
        )
