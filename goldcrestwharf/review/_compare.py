"""Differences between two configurations, one line each."""

from collections.abc import Iterator, Mapping
from typing import Any

import attrs

from goldcrestwharf.policy import PolicySnapshot, RoutePolicy
from goldcrestwharf.workspaces import Workspace


def list_changes(before: PolicySnapshot, after: PolicySnapshot) -> list[str]:
    """Return what ``after`` changes, in the order of the names.

    Keys are counted and never shown.
    """
    return [
        *_compare_versions(before, after),
        *_compare_named(
            'service',
            dict.fromkeys(before.services),
            dict.fromkeys(after.services),
        ),
        *_compare_named('route', _index_routes(before), _index_routes(after)),
        *_compare_named(
            'workspace', _index_workspaces(before), _index_workspaces(after)
        ),
        *_compare_fields('limits', before.limits, after.limits),
    ]


def _compare_versions(
    before: PolicySnapshot, after: PolicySnapshot
) -> Iterator[str]:
    if after.version <= before.version:
        yield (
            f'version {after.version} is not above version {before.version}'
            ' in force, so no daemon adopts it'
        )


def _index_routes(snapshot: PolicySnapshot) -> dict[str, RoutePolicy]:
    return {
        f'{route.host}{route.path_prefix}': route
        for route in snapshot.table.routes
    }


def _index_workspaces(snapshot: PolicySnapshot) -> dict[str, Workspace]:
    if snapshot.workspaces is None:
        return {}
    return {each.name: each for each in snapshot.workspaces.workspaces}


def _compare_named(
    kind: str, before: Mapping[str, Any], after: Mapping[str, Any]
) -> Iterator[str]:
    for name in sorted(before.keys() | after.keys()):
        if name not in after:
            yield f'{kind} {name}: removed'
        elif name not in before:
            yield f'{kind} {name}: added'
        else:
            yield from _compare_fields(
                f'{kind} {name}', before[name], after[name]
            )


def _compare_fields(place: str, before: Any, after: Any) -> Iterator[str]:
    """Yield the fields of two objects of one attrs class that differ."""
    if before == after:
        return
    for field in attrs.fields_dict(type(after)):
        former, present = getattr(before, field), getattr(after, field)
        if former == present:
            continue
        if field == 'key_digests':
            yield (
                f'{place}: {len(present - former)} keys added,'
                f' {len(former - present)} removed'
            )
        else:
            yield f'{place}: {field} {former} -> {present}'
