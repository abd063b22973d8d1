"""Split the requests of a route among services by weight."""

import random

from goldcrestwharf.policy import RoutePolicy

#: How far each service is behind its share, in requests.
_Credits = dict[str, float]


class WeightedSplit:
    """Give each service its share, also over few requests.

    The service that is furthest behind its share gets the next request.
    Counts begin at random, so that many daemons don't all start with the
    same service.
    """

    def __init__(self, *, rng: random.Random) -> None:
        """Draw the first credits from ``rng``."""
        self._rng = rng
        self._credits: dict[str, _Credits] = {}
        self._routes: dict[str, RoutePolicy] = {}

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

    def _find_credits(self, route: RoutePolicy) -> _Credits:
        known = self._routes.get(route.name)
        if known is None or known.weights != route.weights:
            self._routes[route.name] = route
            self._credits[route.name] = {
                service: weight * self._rng.random()
                for service, weight in route.weights
                if weight
            }
        return self._credits[route.name]
