"""Planning of requests by the active configuration."""

import http

import attrs

from goldcrestwharf.http1 import Answer, Request, render_end_to_end
from goldcrestwharf.placement import WeightedSplit
from goldcrestwharf.policy import PolicyHolder, PolicySnapshot, RoutePolicy
from goldcrestwharf.proxy._answers import refuse
from goldcrestwharf.proxy._header_names import HeaderNames
from goldcrestwharf.proxy._plan import Plan
from goldcrestwharf.workspaces import (
    AUTHORIZATION,
    Authenticator,
    Caller,
    UnknownKeyError,
)

_MS_PER_S = 1000
_LATIN = 'latin-1'
_HOST = b'host'

#: ``Retry-After`` of a daemon without a configuration, in seconds.
_NO_CONFIGURATION_RETRY_S = 0.2

_UNAUTHORIZED = Answer(
    status=http.HTTPStatus.UNAUTHORIZED,
    head=b'WWW-Authenticate: Bearer\r\n',
)


@attrs.frozen(kw_only=True)
class PlannerContext:
    """Dependencies of the planner.

    ``caller_service`` is the service whose callers this daemon serves; it is
    sent to targets in the caller header. ``authenticator`` recognizes the
    workspaces of callers if the configuration has any.
    """

    holder: PolicyHolder
    split: WeightedSplit
    names: HeaderNames
    caller_service: str
    authenticator: Authenticator


class Planner:
    """Planner of callers' requests."""

    def __init__(self, *, context: PlannerContext) -> None:
        """Create a planner from its dependencies."""
        self._context = context
        self._lower = context.names.lower()
        self._dropped = frozenset(
            (
                self._lower.deadline,
                self._lower.expected_instance,
                self._lower.caller,
            )
        )
        self._dropped_with_keys = self._dropped | {
            AUTHORIZATION,
            self._lower.workspace,
        }

    def plan(self, req: Request) -> Plan | Answer:
        """Return the plan of a request, or the answer if it can't be planned.

        It can't be without a configuration, a route for it, its host, its
        request id or a key that its route asks for.
        """
        snapshot = self._context.holder.current
        if snapshot is None:
            return refuse(retry_after=_NO_CONFIGURATION_RETRY_S)
        host = req.find_single(_HOST)
        if host is None or req.find(self._lower.request_id) is None:
            return Answer(status=http.HTTPStatus.BAD_REQUEST)
        route = snapshot.table.match(host=host.decode(_LATIN), path=req.path)
        if route is None:
            return Answer(status=http.HTTPStatus.NOT_FOUND)
        try:
            caller = self._authenticate(req, route, snapshot)
        except UnknownKeyError:
            return _UNAUTHORIZED
        return self._make_plan(req, route, snapshot, caller)

    def _authenticate(
        self,
        req: Request,
        route: RoutePolicy,
        snapshot: PolicySnapshot,
    ) -> Caller | None:
        """Return the caller, ``None`` if there are no workspaces."""
        if snapshot.workspaces is None:
            return None
        return self._context.authenticator.authenticate(
            req, snapshot.workspaces, is_public=route.is_public
        )

    def _make_plan(
        self,
        req: Request,
        route: RoutePolicy,
        snapshot: PolicySnapshot,
        caller: Caller | None,
    ) -> Plan:
        request_id = req.find(self._lower.request_id) or b''
        return Plan(
            req=req,
            request_id=request_id.decode(_LATIN),
            route=route,
            service=self._context.split.choose(route),
            version=snapshot.version,
            head=self._render_head(req, caller),
            answer_due_at=req.received_at + self._find_timeout(req, route),
            workspace=None if caller is None else caller.workspace,
            adapts_to_load=snapshot.adapts_to_load,
        )

    def _find_timeout(self, req: Request, route: RoutePolicy) -> float:
        caller_ms = (req.find(self._lower.deadline) or b'').strip()
        if not caller_ms.isdigit():
            return route.timeout
        # Unlike int, float has no limit of digits: it returns infinity.
        return min(float(caller_ms) / _MS_PER_S, route.timeout)

    def _render_head(self, req: Request, caller: Caller | None) -> bytes:
        dropped = self._dropped if caller is None else self._dropped_with_keys
        length = b'Content-Length: %d\r\n' % len(req.body)
        if not req.has_body:
            length = b''
        return b'%b %b HTTP/1.1\r\n%b%b%b%b: %b\r\n' % (
            req.method,
            req.target,
            render_end_to_end(req.headers, without=dropped),
            length,
            self._render_workspace(caller),
            self._context.names.caller,
            self._context.caller_service.encode(_LATIN),
        )

    def _render_workspace(self, caller: Caller | None) -> bytes:
        """Return the header line with the workspace, empty without one."""
        if caller is None or caller.workspace is None:
            return b''
        return b'%b: %b\r\n' % (
            self._context.names.workspace,
            caller.workspace.name.encode(_LATIN),
        )
