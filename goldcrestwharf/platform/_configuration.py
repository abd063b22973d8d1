"""Decode the operator's configuration from the platform's format."""

from collections.abc import Iterator, Mapping
from types import MappingProxyType
from typing import Any

import attrs

from goldcrestwharf.http1 import CallerLimits
from goldcrestwharf.platform._fields import (
    expect_table,
    get_field,
)
from goldcrestwharf.platform._values import (
    PlatformFormatError,
    parse_duration,
    parse_json,
    parse_version,
    show,
)
from goldcrestwharf.platform._workspaces import decode_workspaces
from goldcrestwharf.policy import PolicySnapshot, PolicyTable, RoutePolicy


@attrs.frozen(kw_only=True)
class _RouteType:
    is_repeatable: bool
    is_bulk: bool = False


_ROUTE_TYPES = MappingProxyType(
    {
        'idempotent': _RouteType(is_repeatable=True),
        'non_idempotent': _RouteType(is_repeatable=False),
        'upload': _RouteType(is_repeatable=False, is_bulk=True),
        'download': _RouteType(is_repeatable=True, is_bulk=True),
    }
)


def decode_configuration(written: bytes) -> PolicySnapshot:
    """Return the configuration in a record of the store.

    Raises :class:`PlatformFormatError` if any part of it is invalid; a
    configuration is never applied in part.
    """
    document = expect_table(parse_json(written), 'the configuration')
    routes = tuple(_decode_routes(document))
    services = frozenset(_decode_services(document))
    _check_services(routes, services)
    return PolicySnapshot(
        version=parse_version(document.get('version')),
        table=PolicyTable(routes=routes),
        services=services,
        limits=_decode_limits(document),
        document=written,
        workspaces=decode_workspaces(document),
        has_bulk_routes=any(route.is_bulk for route in routes),
    )


def _decode_services(document: Mapping[str, Any]) -> Iterator[str]:
    for cluster in get_field(document, 'clusters', list):
        yield get_field(expect_table(cluster, 'a cluster'), 'name', str)


def _decode_routes(document: Mapping[str, Any]) -> Iterator[RoutePolicy]:
    for listener in get_field(document, 'listeners', list):
        host = get_field(expect_table(listener, 'a listener'), 'host', str)
        for rule in get_field(listener, 'route_rules', list):
            yield _decode_rule(host, expect_table(rule, 'a rule'))


def _decode_rule(host: str, rule: Mapping[str, Any]) -> RoutePolicy:
    match = expect_table(rule.get('match'), 'match')
    action = expect_table(rule.get('action'), 'action')
    traits = _decode_route_type(rule)
    prefix = get_field(match, 'path_prefix', str)
    route = RoutePolicy(
        name=get_field({'name': prefix, **rule}, 'name', str),
        host=host,
        path_prefix=prefix,
        weights=tuple(_decode_weights(action)),
        timeout=parse_duration(action.get('timeout')),
        objective=parse_duration(rule.get('target_latency')),
        max_tries=get_field(action, 'attempts', int),
        priority=get_field(rule, 'priority', int),
        is_repeatable=traits.is_repeatable,
        is_public=bool(rule.get('public')),
        is_bulk=traits.is_bulk,
    )
    _check_route(route)
    return route


def _decode_route_type(rule: Mapping[str, Any]) -> _RouteType:
    written = get_field(rule, 'route_type', str)
    route_type = _ROUTE_TYPES.get(written)
    if route_type is None:
        raise PlatformFormatError(reason=f'unknown route type {show(written)}')
    return route_type


def _decode_weights(action: Mapping[str, Any]) -> Iterator[tuple[str, int]]:
    if not action.get('traffic_split'):
        yield get_field(action, 'service', str), 1
        return
    for part in get_field(action, 'traffic_split', list):
        share = expect_table(part, 'a part of a split')
        yield get_field(share, 'service', str), get_field(share, 'weight', int)


def _check_route(route: RoutePolicy) -> None:
    weights = [weight for _, weight in route.weights]
    violations = (
        (route.timeout <= 0, 'timeout must be positive'),
        (route.objective < 0, 'objective must not be negative'),
        (route.max_tries < 1, 'attempts must be at least 1'),
        (
            min(weights) < 0 or sum(weights) <= 0,
            'weights must not be negative and not all zero',
        ),
        (not route.path_prefix.startswith('/'), 'prefix must start with /'),
        (not route.path_prefix.endswith('/'), 'prefix must end with /'),
    )
    for is_violated, reason in violations:
        if is_violated:
            raise PlatformFormatError(
                reason=f'rule {show(route.name)}: {reason}'
            )


def _check_services(
    routes: tuple[RoutePolicy, ...],
    services: frozenset[str],
) -> None:
    for route in routes:
        missing = {name for name, _ in route.weights} - services
        if missing:
            raise PlatformFormatError(
                reason=(
                    f'rule {show(route.name)} refers to unknown service'
                    f' {show(min(missing))}'
                ),
            )


def _decode_limits(document: Mapping[str, Any]) -> CallerLimits:
    if not document.get('limits'):
        return CallerLimits()
    limits = expect_table(document['limits'], 'limits')
    return CallerLimits(
        max_head_bytes=get_field(limits, 'max_header_bytes', int),
        max_body_bytes=get_field(limits, 'max_body_bytes', int),
        head_timeout=parse_duration(limits.get('header_timeout')),
        idle_timeout=parse_duration(limits.get('idle_timeout')),
    )
