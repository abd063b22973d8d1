"""Find the policy of a request by host and path."""

from collections.abc import Iterable

from goldcrestwharf.policy._route import RoutePolicy

_BORDER = '/'


class PolicyTable:
    """Match by the longest prefix that begins the path.

    Prefixes end with a slash, so a match costs one look-up for each segment
    of the path, up to as many as the longest prefix of the host has.
    """

    def __init__(self, *, routes: Iterable[RoutePolicy]) -> None:
        """Index the routes by host and prefix."""
        self._by_host: dict[str, dict[str, RoutePolicy]] = {}
        self._longest: dict[str, int] = {}
        for route in routes:
            self._add(route)

    def match(self, *, host: str, path: str) -> RoutePolicy | None:
        """Return the policy of a request, ``None`` if there is no route.

        ``path`` has no query; a port behind ``host`` is ignored.
        """
        name = host.partition(':')[0].lower()
        by_prefix = self._by_host.get(name)
        if by_prefix is None:
            return None
        border = path.rfind(_BORDER, 0, self._longest[name])
        while border >= 0:
            found = by_prefix.get(path[: border + 1])
            if found is not None:
                return found
            border = path.rfind(_BORDER, 0, border)
        return None

    def _add(self, route: RoutePolicy) -> None:
        host = route.host.lower()
        self._by_host.setdefault(host, {})[route.path_prefix] = route
        longest = max(self._longest.get(host, 0), len(route.path_prefix))
        self._longest[host] = longest
