"""Hold what was decided about one request of a caller."""

import attrs

from goldcrestwharf.hops._asgi import CallerRequest
from goldcrestwharf.limits import Deadline
from goldcrestwharf.objects import TargetGroup
from goldcrestwharf.routing import RouteMatch, TargetKey


@attrs.define(kw_only=True, eq=False)
class Plan:
    """Hold a request, its route and the tries made so far.

    ``retries_before`` counts the retries that earlier hops spent on the
    request, ``tries`` those at targets and ``redirects`` the tries that
    were turned away by a daemon whose target takes no requests.
    """

    req: CallerRequest
    match: RouteMatch
    group_name: str
    group: TargetGroup
    deadline: Deadline
    fingerprint: str
    retries_before: int = 0
    tries: int = 0
    redirects: int = 0
    traceparent: str = ''
    tried: set[TargetKey] = attrs.field(factory=set)

    @property
    def retries(self) -> int:
        """Return the retries spent, with those of earlier hops."""
        return self.retries_before + max(self.tries - 1, 0)
