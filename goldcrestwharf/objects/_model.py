"""Define the objects that operators publish."""

from collections.abc import Mapping

import attrs

from goldcrestwharf.documents import (
    flag,
    integer,
    percents,
    sections,
    text,
    texts,
)
from goldcrestwharf.objects._digested import Digested

_TEAM = 'team that owns it, empty for none'


@attrs.frozen(kw_only=True)
class TargetGroup(Digested):
    """A group of interchangeable targets and the limits of each."""

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
    eject_after: int = integer(
        5,
        summary='failures in a row after which a target is ejected',
        low=1,
        high=1000,
    )
    eject_ms: int = integer(
        10_000,
        summary='time for which a target is ejected at first',
        unit='ms',
        low=100,
        high=3_600_000,
    )
    spill_percent: int = integer(
        80,
        summary='slots of a zone in use above which requests leave it',
        unit='%',
        low=1,
        high=100,
    )
    team: str = text('', summary=_TEAM)


@attrs.frozen(kw_only=True)
class Service(Digested):
    """A service and the limits of its requests.

    ``split`` sends a percentage of the requests to other target groups, for
    example to a canary; the rest goes to ``target_group``.
    """

    target_group: str = text(summary='name of its target group')
    split: Mapping[str, int] = percents(
        summary='share of the requests for each other target group',
    )
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
    team: str = text('', summary=_TEAM)


@attrs.frozen(kw_only=True)
class Route(Digested):
    """A rule that sends matching requests to a service.

    An empty ``host`` or ``methods`` matches any. If ``repeatable`` is
    ``None``, the method determines whether a request may be sent again.
    """

    service: str = text(summary='name of the service')
    host: str = text('', summary='host name that the request asks for')
    path_prefix: str = text('/', summary='start of the path')
    methods: tuple[str, ...] = texts(summary='methods, none for any')
    repeatable: bool | None = flag(
        None,
        summary='whether a request may run twice, by its method if left out',
    )
    team: str = text('', summary=_TEAM)


@attrs.frozen(kw_only=True)
class ObjectSet:
    """A complete set of objects by kind and name."""

    target_groups: Mapping[str, TargetGroup] = sections(
        TargetGroup,
        summary='target groups by name',
        word='target group',
    )
    services: Mapping[str, Service] = sections(
        Service,
        summary='services by name',
        word='service',
    )
    routes: Mapping[str, Route] = sections(
        Route,
        summary='routes by name',
        word='route',
    )
