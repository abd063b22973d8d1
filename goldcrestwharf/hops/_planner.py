"""Choose the route, target group and deadline of a request."""

import random

from goldcrestwharf.hops import _headers
from goldcrestwharf.hops._asgi import CallerRequest
from goldcrestwharf.hops._messages import HopReason, HopRefusal
from goldcrestwharf.hops._plan import Plan
from goldcrestwharf.hops._route_cache import CompiledRoutes, RouteCache
from goldcrestwharf.hops._settings import HopsSettings
from goldcrestwharf.limits import Deadline
from goldcrestwharf.quarantine import fingerprint_of
from goldcrestwharf.routing import RouteMatch, choose_group
from goldcrestwharf.timers import Timers

_MS_PER_S = 1000
_HEADER_ENCODING = 'latin-1'


class Planner:
    """A planner of requests by the current configuration."""

    def __init__(
        self,
        *,
        routes: RouteCache,
        timers: Timers,
        rng: random.Random,
        cfg: HopsSettings,
    ) -> None:
        """Route by ``routes`` and split traffic among groups by ``rng``."""
        self._routes = routes
        self._rng = rng
        self._timers = timers
        self._retry_after = cfg.retry_after_ms / _MS_PER_S

    def plan(self, req: CallerRequest) -> Plan | HopRefusal:
        """Return the plan of ``req`` or why it is refused."""
        compiled = self._routes.current()
        if compiled is None:
            return HopRefusal(
                reason=HopReason.NO_CONFIGURATION,
                retry_after=self._retry_after,
            )
        match = compiled.table.match(
            host=req.host,
            path=req.path,
            method=req.method,
        )
        if match is None:
            return HopRefusal(reason=HopReason.NO_ROUTE)
        return self._make_plan(req, match, compiled)

    def _make_plan(
        self,
        req: CallerRequest,
        match: RouteMatch,
        compiled: CompiledRoutes,
    ) -> Plan:
        requested = _headers.find(req.headers, _headers.DEADLINE)
        retries_before = _headers.find_int(req.headers, _headers.ATTEMPT)
        group_name = choose_group(match.service, self._rng)
        return Plan(
            req=req,
            match=match,
            group_name=group_name,
            group=compiled.objects.target_groups[group_name],
            deadline=Deadline.parse(
                None
                if requested is None
                else requested.decode(_HEADER_ENCODING),
                timers=self._timers,
                limit=match.service.timeout_ms / _MS_PER_S,
            ),
            fingerprint=fingerprint_of(
                req.method,
                req.host,
                req.target.decode(_HEADER_ENCODING),
                req.body,
            ),
            retries_before=retries_before or 0,
        )
