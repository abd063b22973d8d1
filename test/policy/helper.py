"""Factories of policies for tests."""

from goldcrestwharf.http1 import CallerLimits
from goldcrestwharf.policy import PolicySnapshot, PolicyTable, RoutePolicy


def make_route(**changes: object) -> RoutePolicy:
    fields: dict[str, object] = {
        'name': 'menu',
        'host': 'shop.example',
        'path_prefix': '/menu/',
        'weights': (('kitchen', 1),),
        'timeout': 0.5,
        'objective': 0.2,
        'max_tries': 2,
        'priority': 1,
        'is_repeatable': True,
    }
    return RoutePolicy(**{**fields, **changes})  # type: ignore[arg-type]


def make_snapshot(version: int, *routes: RoutePolicy) -> PolicySnapshot:
    return PolicySnapshot(
        version=version,
        table=PolicyTable(routes=routes or (make_route(),)),
        services=frozenset(('kitchen',)),
        limits=CallerLimits(),
        document=b'%d' % version,
    )
