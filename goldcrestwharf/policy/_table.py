"""Lookup of a request's policy by host and path."""

from collections.abc import Iterable

from goldcrestwharf.policy._route import RoutePolicy

_SEPARATOR = '/'


class PolicyTable:
    """Route policies, matched by the longest prefix of the path.

    Prefixes end with a slash. A match therefore takes one dictionary lookup
    per path segment, at most as many as the longest prefix of the host has.
    ``routes`` has all policies as they were given; of two with the same host
    and prefix the last one matches.
    """

    def __init__(self, *, routes: Iterable[RoutePolicy]) -> None:
        """Index ``routes`` by host and prefix."""
        self.routes = tuple(routes)
        self._by_host: dict[str, dict[str, RoutePolicy]] = {}
        self._longest: dict[str, int] = {}
        for route in self.routes:
            self._add(route)

    def match(self, *, host: str, path: str) -> RoutePolicy | None:
        """Return the policy of a request, ``None`` if there is no route.

        ``path`` excludes the query; a port in ``host`` is ignored.
        """
        name = host.partition(':')[0].lower()
        by_prefix = self._by_host.get(name)
        if by_prefix is None:
            return None
        end = path.rfind(_SEPARATOR, 0, self._longest[name])
        while end >= 0:
            found = by_prefix.get(path[: end + 1])
            if found is not None:
                return found
            end = path.rfind(_SEPARATOR, 0, end)
        return None

    def _add(self, route: RoutePolicy) -> None:
        host = route.host.lower()
        self._by_host.setdefault(host, {})[route.path_prefix] = route
        longest = max(self._longest.get(host, 0), len(route.path_prefix))
        self._longest[host] = longest
