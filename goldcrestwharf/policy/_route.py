"""Policy for the requests of one route."""

import attrs


@attrs.frozen(kw_only=True)
class RoutePolicy:
    """How the requests on one route are handled.

    ``weights`` maps services to their relative shares. ``timeout`` limits the
    whole request, and ``objective`` is the time within which its answer is
    most useful, both in seconds. ``max_tries`` limits the targets that one
    request may be sent to. A lower ``priority`` is more urgent. Requests of a
    public route need no key. ``is_bulk`` says that bodies are large.
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
    is_public: bool = False
    is_bulk: bool = False

    @property
    def services(self) -> frozenset[str]:
        """Return the services with a weight above zero."""
        return frozenset(service for service, weight in self.weights if weight)
