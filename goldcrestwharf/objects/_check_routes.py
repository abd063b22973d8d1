"""Check that routes can match, and that no two match the same request."""

from collections.abc import Iterator

from goldcrestwharf.documents import Place, Problem, Suggester
from goldcrestwharf.objects._kinds import ROUTES
from goldcrestwharf.objects._model import ObjectSet, Route
from goldcrestwharf.objects._registry import check
from goldcrestwharf.objects._route_formats import HOST, PATH

# The host, the path prefix and one method of a route.
_Match = tuple[str, str, str]

METHODS = ('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS')


@check('route-host-form', is_local=True)
def find_bad_hosts(objects: ObjectSet) -> Iterator[Problem]:
    """Yield a problem for each host that no request can have."""
    for name, route in objects.routes.items():
        if route.host and not HOST.matches(route.host):
            place = Place(kind=ROUTES.word, name=name, field='host')
            yield HOST.explain(route.host, f'host "{route.host}"', place)


@check('route-path-form', is_local=True)
def find_bad_paths(objects: ObjectSet) -> Iterator[Problem]:
    """Yield a problem for each path prefix that no path starts with."""
    for name, route in objects.routes.items():
        if not PATH.matches(route.path_prefix):
            place = Place(kind=ROUTES.word, name=name, field='path_prefix')
            label = f'path_prefix "{route.path_prefix}"'
            yield PATH.explain(route.path_prefix, label, place)


@check('route-methods-known', is_local=True)
def find_bad_methods(objects: ObjectSet) -> Iterator[Problem]:
    """Yield a problem for each unknown method."""
    suggester = Suggester(names=METHODS)
    known = ', '.join(METHODS)
    for name, route in objects.routes.items():
        for method in route.methods:
            if method not in METHODS:
                yield Problem(
                    place=Place(kind=ROUTES.word, name=name, field='methods'),
                    reason=f'"{method}" is not a method',
                    remedy=suggester.remedy(method, f'use some of {known}'),
                )


@check('routes-distinct')
def find_conflicting_routes(objects: ObjectSet) -> Iterator[Problem]:
    """Yield a problem for each route that conflicts with an earlier one."""
    first_routes: dict[_Match, str] = {}
    for name, route in sorted(objects.routes.items()):
        for match in _matches_of(route):
            if first_routes.setdefault(match, name) != name:
                yield _conflict(name, first_routes[match], match)
                break


def _matches_of(route: Route) -> list[_Match]:
    host, path_prefix = route.host, route.path_prefix
    return [(host, path_prefix, method) for method in route.methods or METHODS]


def _conflict(name: str, other: str, match: _Match) -> Problem:
    return Problem(
        place=Place(kind=ROUTES.word, name=name),
        reason=f'it clashes with route "{other}" over {_describe(match)}',
        remedy='change the host, path_prefix or methods of one of them',
        related=(*_match_places(name), *_match_places(other)),
    )


def _describe(match: _Match) -> str:
    host, path_prefix, method = match
    host_label = f'host "{host}"' if host else 'any host'
    return f'{method} requests to {host_label} under "{path_prefix}"'


def _match_places(name: str) -> Iterator[Place]:
    for field in ('host', 'path_prefix', 'methods'):
        yield Place(kind=ROUTES.word, name=name, field=field)
