"""Split the requests of a route among services by weight."""

import random

from goldcrestwharf.policy import RoutePolicy


class WeightedSplit:
    """Give each service its share, also over few requests.

    The service that is furthest behind its share gets the next request.
    Counts begin at random, so that many daemons don't all start with the
    same service.
    """

    def __init__(self, *, rng: random.Random) -> None:
        """Draw the first credits from ``rng``."""
        self._rng = rng
        self._credits: dict[str, dict[str, float]] = {}
        self._weights: dict[str, tuple[tuple[str, int], ...]] = {}

    def pick(self, route: RoutePolicy) -> str:
        """Return the service for the next request on ``route``."""
        if len(route.weights) == 1:
            return route.weights[0][0]
        credit = self._find_credits(route)
        total = 0
        for service, weight in route.weights:
            if weight:
                credit[service] += weight
                total += weight
        chosen = max(credit, key=credit.__getitem__)
        credit[chosen] -= total
        return chosen

    def _find_credits(self, route: RoutePolicy) -> dict[str, float]:
        if self._weights.get(route.name) != route.weights:
            self._weights[route.name] = route.weights
            self._credits[route.name] = {
                service: weight * self._rng.random()
                for service, weight in route.weights
                if weight
            }
        return self._credits[route.name]
