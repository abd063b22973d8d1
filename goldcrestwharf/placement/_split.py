"""Weighted split of a route's requests among services."""

import random

from goldcrestwharf.policy import RoutePolicy

#: Number of requests by which each service is behind its share.
_Deficits = dict[str, float]


class WeightedSplit:
    """Deficit counters of the services of each route.

    Each request goes to the service that is furthest behind its share, so
    the shares hold over few requests too. Counters start at random values,
    so that many daemons don't all start with the same service.
    """

    def __init__(self, *, rng: random.Random) -> None:
        """Draw the initial counters from ``rng``."""
        self._rng = rng
        self._deficits: dict[str, _Deficits] = {}
        self._routes: dict[str, RoutePolicy] = {}

    def choose(self, route: RoutePolicy) -> str:
        """Choose the service of the next request on ``route``."""
        if len(route.weights) == 1:
            return route.weights[0][0]
        deficits = self._find_deficits(route)
        total = 0
        for service, weight in route.weights:
            if weight:
                deficits[service] += weight
                total += weight
        chosen = max(deficits, key=deficits.__getitem__)
        deficits[chosen] -= total
        return chosen

    def _find_deficits(self, route: RoutePolicy) -> _Deficits:
        known = self._routes.get(route.name)
        if known is None or known.weights != route.weights:
            self._routes[route.name] = route
            self._deficits[route.name] = {
                service: weight * self._rng.random()
                for service, weight in route.weights
                if weight
            }
        return self._deficits[route.name]
