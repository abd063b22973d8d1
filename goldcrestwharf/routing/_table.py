"""Route table.

The routes of a host are indexed by path prefix, so a match costs one lookup
per path segment, independent of the number of routes.
"""

from collections.abc import Iterator, Mapping

import attrs

from goldcrestwharf.objects import ObjectSet, Route, Service
from goldcrestwharf.routing._errors import DanglingReferenceError

#: RFC 9110 defines PUT and DELETE as idempotent too, but a target may bill or
#: publish on them, so they are repeated only if their route allows it.
_REPEATABLE_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS'))
_ANY = ''
_SEPARATOR = '/'


@attrs.frozen(kw_only=True)
class RouteMatch:
    """Route and service of a request.

    ``is_repeatable`` is set if running the request twice is harmless.
    """

    route_name: str
    route: Route
    service_name: str
    service: Service
    is_repeatable: bool


@attrs.frozen(kw_only=True)
class _RouteEntry:
    repeatable: RouteMatch
    unrepeatable: RouteMatch

    def select(self, method: str) -> RouteMatch:
        declared = self.repeatable.route.repeatable
        if declared is None:
            declared = method in _REPEATABLE_METHODS
        return self.repeatable if declared else self.unrepeatable


class _HostTable:
    """Routes of one host, by path prefix and then by method."""

    def __init__(self) -> None:
        self._by_prefix: dict[str, dict[str, _RouteEntry]] = {}
        self._max_segments = 0

    def add(self, entry: _RouteEntry) -> None:
        route = entry.repeatable.route
        prefix = route.path_prefix.rstrip(_SEPARATOR)
        by_method = self._by_prefix.setdefault(prefix, {})
        for method in route.methods or (_ANY,):
            by_method[method.upper()] = entry
        segments = prefix.count(_SEPARATOR)
        self._max_segments = max(self._max_segments, segments)

    def find(self, path: str, method: str) -> RouteMatch | None:
        for prefix in self._prefixes(path):
            by_method = self._by_prefix.get(prefix)
            if by_method:
                entry = by_method.get(method) or by_method.get(_ANY)
                if entry:
                    return entry.select(method)
        return None

    def _prefixes(self, path: str) -> Iterator[str]:
        """Yield the prefixes of ``path`` that may have routes, longest first.

        The path is truncated to the segment count of the longest prefix, so
        that a caller can't make matching expensive with a very long path.
        """
        segments = path.split(_SEPARATOR, self._max_segments + 1)
        prefix = _SEPARATOR.join(segments[: self._max_segments + 1])
        while prefix:
            yield prefix
            prefix = prefix.rpartition(_SEPARATOR)[0]
        yield ''


class RouteTable:
    """Routes of one configuration."""

    def __init__(self, *, by_host: Mapping[str, _HostTable]) -> None:
        """Index the routes by lower-case host; the empty one is any host."""
        self._by_host = by_host

    def match(self, *, host: str, path: str, method: str) -> RouteMatch | None:
        """Return the route of a request, ``None`` if there is none.

        An exact host takes precedence over any host, then the longest prefix
        of whole segments, then a named method over any method. ``path`` has
        no query. A path with dot segments matches nothing, since a target
        might resolve it to a path outside the prefix.
        """
        if not path.startswith(_SEPARATOR) or _has_dot_segment(path):
            return None
        for name in (_strip_port(host), _ANY):
            hosted = self._by_host.get(name)
            found = hosted.find(path, method.upper()) if hosted else None
            if found:
                return found
        return None


def compile_routes(objects: ObjectSet) -> RouteTable:
    """Return the table of all routes in ``objects``.

    Raises :class:`DanglingReferenceError` if a route's service is missing.
    """
    by_host: dict[str, _HostTable] = {}
    for name, route in objects.routes.items():
        entry = _make_entry(name, route, objects)
        by_host.setdefault(route.host.lower(), _HostTable()).add(entry)
    return RouteTable(by_host=by_host)


def _make_entry(name: str, route: Route, objects: ObjectSet) -> _RouteEntry:
    service = objects.services.get(route.service)
    if service is None:
        raise DanglingReferenceError(
            reason=f'route "{name}": service "{route.service}" is missing',
            remedy='check the object set before compiling it',
        )
    unrepeatable = RouteMatch(
        route_name=name,
        route=route,
        service_name=route.service,
        service=service,
        is_repeatable=False,
    )
    return _RouteEntry(
        repeatable=attrs.evolve(unrepeatable, is_repeatable=True),
        unrepeatable=unrepeatable,
    )


def _strip_port(host: str) -> str:
    name, colon, port = host.lower().rpartition(':')
    is_port = colon and port.isdecimal() and not name.endswith(':')
    return (name if is_port else host.lower()).rstrip('.')


def _has_dot_segment(path: str) -> bool:
    if '.' not in path and '%' not in path:
        return False
    plain = path.lower().replace('%2e', '.').replace('%2f', _SEPARATOR)
    return any(
        segment in {'.', '..'}
        for segment in plain.replace('\\', _SEPARATOR).split(_SEPARATOR)
    )
