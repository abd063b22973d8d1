"""Match by longest prefix and choose at random, until the rules land."""

import random

import attrs

from goldcrestwharf.membership import Member, MembershipView, Target
from goldcrestwharf.objects import ObjectSet, Route, Service, TargetGroup

_REPEATABLE = frozenset(('GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE'))


@attrs.frozen(kw_only=True)
class TargetKey:
    """Name a target in the mesh."""

    vm: str
    name: str


@attrs.frozen(kw_only=True)
class Candidate:
    """Hold a target and the daemon on its VM."""

    member: Member
    target: Target

    @property
    def key(self) -> TargetKey:
        """Return the name of the target in the mesh."""
        return TargetKey(vm=self.member.vm, name=self.target.name)


@attrs.frozen(kw_only=True)
class RouteMatch:
    """Hold the route that a request takes."""

    route_name: str
    route: Route
    service_name: str
    service: Service
    is_repeatable: bool


@attrs.frozen(kw_only=True)
class RouteTable:
    """Find the route with the longest matching prefix."""

    objects: ObjectSet

    def match(self, *, host: str, path: str, method: str) -> RouteMatch | None:
        """Return the route of a request, if there is one."""
        found = [
            name
            for name, route in self.objects.routes.items()
            if route.host in {'', host}
            and path.startswith(route.path_prefix)
            and (not route.methods or method in route.methods)
        ]
        if not found:
            return None
        name = max(found, key=self._rank)
        return self._make_match(name, method)

    def _rank(self, name: str) -> tuple[bool, int]:
        route = self.objects.routes[name]
        return bool(route.host), len(route.path_prefix)

    def _make_match(self, name: str, method: str) -> RouteMatch:
        route = self.objects.routes[name]
        repeatable = route.repeatable
        return RouteMatch(
            route_name=name,
            route=route,
            service_name=route.service,
            service=self.objects.services[route.service],
            is_repeatable=(
                method in _REPEATABLE if repeatable is None else repeatable
            ),
        )


def compile_routes(objects: ObjectSet) -> RouteTable:
    """Return the table of the routes in ``objects``."""
    return RouteTable(objects=objects)


class TargetChooser:
    """Choose any target that may take requests."""

    def __init__(self, *, view: MembershipView, rng: random.Random) -> None:
        """Choose among the targets in ``view``."""
        self._view = view
        self._rng = rng

    def choose(
        self,
        group_name: str,
        group: TargetGroup,
        exclude: frozenset[TargetKey],
    ) -> Candidate | None:
        """Return a target that is not in ``exclude``, if there is one."""
        candidates = [
            Candidate(member=member, target=target)
            for member, target in self._view.targets(group_name)
        ]
        usable = [one for one in candidates if one.key not in exclude]
        return self._rng.choice(usable) if usable else None
