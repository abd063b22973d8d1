"""Hold what was decided about one request of a caller."""

import attrs

from goldcrestwharf.hops import _headers
from goldcrestwharf.hops._asgi import CallerRequest
from goldcrestwharf.limits import Deadline
from goldcrestwharf.objects import TargetGroup
from goldcrestwharf.routing import RouteMatch, TargetKey


@attrs.define(kw_only=True, eq=False)
class Plan:
    """Hold a request, its route and the targets tried so far.

    ``earlier_attempts`` counts the retries that earlier hops spent on it.
    """

    req: CallerRequest
    match: RouteMatch
    group: TargetGroup
    deadline: Deadline
    tried: set[TargetKey] = attrs.field(factory=set)
    earlier_attempts: int = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Read the retries of earlier hops from the header."""
        headers = self.req.headers
        spent = _headers.find_count(headers, _headers.ATTEMPT)
        self.earlier_attempts = spent or 0

    @property
    def attempt(self) -> int:
        """Return the retries spent, with those of earlier hops."""
        return self.earlier_attempts + max(len(self.tried) - 1, 0)
