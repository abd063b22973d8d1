"""Decode the operator's configuration."""

import json
from collections.abc import Iterator, Mapping
from types import MappingProxyType
from typing import Any

from goldcrestwharf.http1 import CallerLimits
from goldcrestwharf.platform._values import (
    PlatformFormatError,
    seconds,
    take,
    take_table,
    version_number,
)
from goldcrestwharf.policy import PolicySnapshot, PolicyTable, RoutePolicy

#: Route types, and whether their requests may run more than once.
_REPEATABLE = MappingProxyType({'idempotent': True, 'non_idempotent': False})


def decode_configuration(written: bytes) -> PolicySnapshot:
    """Return the configuration of a record of the store.

    Raises :class:`PlatformFormatError` if any part of it can't be used; a
    configuration is taken whole or not at all.
    """
    try:
        parsed = json.loads(written)
    except ValueError as exc:
        raise PlatformFormatError(reason=f'no JSON: {exc}') from exc
    document = take_table(parsed, 'the configuration')
    routes = tuple(_decode_routes(document))
    services = frozenset(_decode_services(document))
    _check_services(routes, services)
    return PolicySnapshot(
        version=version_number(document.get('version')),
        table=PolicyTable(routes=routes),
        services=services,
        limits=_decode_limits(document),
        document=written,
    )


def _decode_services(document: Mapping[str, Any]) -> Iterator[str]:
    for cluster in take(document, 'clusters', list):
        yield take(take_table(cluster, 'a cluster'), 'name', str)


def _decode_routes(document: Mapping[str, Any]) -> Iterator[RoutePolicy]:
    for listener in take(document, 'listeners', list):
        host = take(take_table(listener, 'a listener'), 'host', str)
        for rule in take(listener, 'route_rules', list):
            yield _decode_rule(host, take_table(rule, 'a rule'))


def _decode_rule(host: str, rule: Mapping[str, Any]) -> RoutePolicy:
    match = take_table(rule.get('match'), 'match')
    action = take_table(rule.get('action'), 'action')
    route_type = take(rule, 'route_type', str)
    if route_type not in _REPEATABLE:
        raise PlatformFormatError(reason=f'route type {route_type!r}')
    prefix = take(match, 'path_prefix', str)
    route = RoutePolicy(
        name=str(rule.get('name', prefix)),
        host=host,
        path_prefix=prefix,
        weights=tuple(_decode_weights(action)),
        timeout=seconds(action.get('timeout')),
        objective=seconds(rule.get('target_latency')),
        max_tries=take(action, 'attempts', int),
        priority=take(rule, 'priority', int),
        is_repeatable=_REPEATABLE[route_type],
    )
    _check_route(route)
    return route


def _decode_weights(action: Mapping[str, Any]) -> Iterator[tuple[str, int]]:
    parts = action.get('traffic_split')
    if not parts:
        yield take(action, 'service', str), 1
        return
    for part in parts:
        share = take_table(part, 'a part of a split')
        yield take(share, 'service', str), take(share, 'weight', int)


def _check_route(route: RoutePolicy) -> None:
    weights = [weight for _, weight in route.weights]
    obstacles = (
        (route.timeout <= 0, "timeout isn't above zero"),
        (route.objective < 0, 'objective is below zero'),
        (route.max_tries < 1, 'attempts are below one'),
        (min(weights) < 0 or sum(weights) <= 0, 'weights are no shares'),
        (not route.path_prefix.startswith('/'), 'prefix begins without /'),
        (not route.path_prefix.endswith('/'), 'prefix ends without /'),
    )
    for stands, reason in obstacles:
        if stands:
            raise PlatformFormatError(reason=f'rule {route.name!r}: {reason}')


def _check_services(
    routes: tuple[RoutePolicy, ...],
    services: frozenset[str],
) -> None:
    for route in routes:
        missing = {name for name, _ in route.weights} - services
        if missing:
            raise PlatformFormatError(
                reason=f'rule {route.name!r} names {sorted(missing)}',
            )


def _decode_limits(document: Mapping[str, Any]) -> CallerLimits:
    limits = document.get('limits')
    if not limits:
        return CallerLimits()
    return CallerLimits(
        max_head_bytes=take(limits, 'max_header_bytes', int),
        max_body_bytes=take(limits, 'max_body_bytes', int),
        head_timeout=seconds(limits.get('header_timeout')),
        idle_timeout=seconds(limits.get('idle_timeout')),
    )
