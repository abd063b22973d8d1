"""Describe how the requests of one route are treated."""

import attrs


@attrs.frozen(kw_only=True)
class RoutePolicy:
    """Hold the treatment of the requests on one route.

    ``weights`` maps services to their shares, which need no common sum.
    ``timeout`` bounds the whole request and ``objective`` is the time
    within which its answer is worth most, both in seconds. ``max_tries``
    counts targets that one request may be sent to. The lower ``priority``
    is, the more urgent the request.
    """

    name: str
    host: str
    path_prefix: str
    weights: tuple[tuple[str, int], ...]
    timeout: float
    objective: float
    max_tries: int
    priority: int
    is_repeatable: bool

    @property
    def services(self) -> frozenset[str]:
        """Return the services that get a share."""
        return frozenset(service for service, weight in self.weights if weight)
