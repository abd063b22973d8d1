"""Define the objects that operators publish."""

from collections.abc import Mapping

import attrs

from goldcrestwharf.documents import integer, text


@attrs.frozen(kw_only=True)
class TargetGroup:
    """Describe targets that stand in for one another."""

    slots: int = integer(
        12,
        summary='requests that one target runs at once',
        low=1,
        high=10_000,
    )
    connections: int = integer(
        130,
        summary='connections that one target accepts',
        low=1,
        high=100_000,
    )
    queue: int = integer(
        24,
        summary='requests that wait for a slot of one target',
        low=0,
        high=100_000,
    )
    slow_start_ms: int = integer(
        0,
        summary='time over which a new target gets its full share',
        unit='ms',
        low=0,
        high=600_000,
    )
    max_ejected_percent: int = integer(
        50,
        summary='share of the targets that may be ejected at once',
        unit='%',
        low=0,
        high=100,
    )
    team: str = text('', summary='team that owns the group')


@attrs.frozen(kw_only=True)
class Service:
    """Describe a named service and how its calls are limited."""

    target_group: str = text(summary='name of its target group')
    timeout_ms: int = integer(
        2000,
        summary='time allowed for one request, all tries together',
        unit='ms',
        low=1,
        high=600_000,
    )
    max_tries: int = integer(
        2,
        summary='tries for one request, the first one included',
        low=1,
        high=5,
    )
    retry_budget_percent: int = integer(
        10,
        summary='retries allowed as a share of first tries',
        unit='%',
        low=0,
        high=100,
    )
    team: str = text('', summary='team that owns the service')


@attrs.frozen(kw_only=True)
class Route:
    """Send the requests that match to a service.

    An empty ``host`` or ``methods`` matches any. ``is_repeatable`` follows
    from the method of the request if it is ``None``.
    """

    service: str = text(summary='name of the service')
    host: str = text('', summary='host name that the request asks for')
    path_prefix: str = text('/', summary='start of the path')
    methods: tuple[str, ...] = ()
    repeatable: bool | None = None
    team: str = text('', summary='team that owns the route')


@attrs.frozen(kw_only=True)
class ObjectSet:
    """Hold a complete set of objects by kind and name."""

    target_groups: Mapping[str, TargetGroup] = attrs.field(factory=dict)
    services: Mapping[str, Service] = attrs.field(factory=dict)
    routes: Mapping[str, Route] = attrs.field(factory=dict)
