"""Check that a route can match, and that no two match the same request."""

from collections.abc import Iterator
from typing import NamedTuple

from goldcrestwharf.documents import Place, Problem, Suggester
from goldcrestwharf.objects._kinds import ROUTES
from goldcrestwharf.objects._model import ObjectSet, Route
from goldcrestwharf.objects._registry import check
from goldcrestwharf.objects._route_forms import HOST, PATH

METHODS = ('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS')


@check('route-host-form', is_local=True)
def find_bad_hosts(objects: ObjectSet) -> Iterator[Problem]:
    """Yield a problem for each host that no request can ask for."""
    for name, route in objects.routes.items():
        place = Place(kind=ROUTES.word, name=name, field='host')
        problem = HOST.find(route.host, f'host "{route.host}"', place)
        if route.host and problem:
            yield problem


@check('route-path-form', is_local=True)
def find_bad_paths(objects: ObjectSet) -> Iterator[Problem]:
    """Yield a problem for each path prefix that no path starts with."""
    for name, route in objects.routes.items():
        place = Place(kind=ROUTES.word, name=name, field='path_prefix')
        label = f'path_prefix "{route.path_prefix}"'
        problem = PATH.find(route.path_prefix, label, place)
        if problem:
            yield problem


@check('route-methods-known', is_local=True)
def find_bad_methods(objects: ObjectSet) -> Iterator[Problem]:
    """Yield a problem for each method that no request has."""
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
def find_clashing_routes(objects: ObjectSet) -> Iterator[Problem]:
    """Yield a problem for each route that an earlier one clashes with."""
    taken: dict[_Match, str] = {}
    for name, route in sorted(objects.routes.items()):
        for match in _matches_of(route):
            other = taken.setdefault(match, name)
            if other != name:
                yield _clash(name, other, match)
                break


class _Match(NamedTuple):
    """Name the requests of one method that a route takes."""

    host: str
    path_prefix: str
    method: str

    def __str__(self) -> str:
        """Return the requests as a message names them."""
        host = f'host "{self.host}"' if self.host else 'any host'
        return f'{self.method} requests to {host} under "{self.path_prefix}"'


def _matches_of(route: Route) -> Iterator[_Match]:
    for method in route.methods or METHODS:
        yield _Match(route.host, route.path_prefix, method)


def _clash(name: str, other: str, match: _Match) -> Problem:
    return Problem(
        place=Place(kind=ROUTES.word, name=name),
        reason=f'it clashes with route "{other}" over {match}',
        remedy='change the host, path_prefix or methods of one of them',
        related=(*_match_places(name), *_match_places(other)),
    )


def _match_places(name: str) -> Iterator[Place]:
    for field in ('host', 'path_prefix', 'methods'):
        yield Place(kind=ROUTES.word, name=name, field=field)
