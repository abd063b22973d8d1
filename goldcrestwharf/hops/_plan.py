"""Define the routing decision for a request and its progress."""

import attrs

from goldcrestwharf.hops._asgi import CallerRequest
from goldcrestwharf.limits import Deadline
from goldcrestwharf.objects import TargetGroup
from goldcrestwharf.routing import RouteMatch, TargetKey


@attrs.define(kw_only=True, eq=False)
class Plan:
    """A request, its route and the attempts made so far.

    ``retries_before`` counts the retries of earlier hops, ``attempts`` the
    attempts at targets, and ``redirects`` the attempts refused by a daemon
    whose target takes no requests.
    """

    req: CallerRequest
    match: RouteMatch
    group_name: str
    group: TargetGroup
    deadline: Deadline
    fingerprint: str
    retries_before: int = 0
    attempts: int = 0
    redirects: int = 0
    traceparent: str = ''
    tried: set[TargetKey] = attrs.field(factory=set)

    @property
    def retries(self) -> int:
        """Return the number of retries, including those of earlier hops."""
        return self.retries_before + max(self.attempts - 1, 0)
