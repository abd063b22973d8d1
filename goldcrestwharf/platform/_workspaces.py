"""Decode the workspaces of the operator's configuration."""

from collections.abc import Iterator, Mapping
from typing import Any

from goldcrestwharf.platform._fields import (
    get_field,
    get_number,
    is_unicode,
)
from goldcrestwharf.platform._values import (
    PlatformFormatError,
    show,
)
from goldcrestwharf.workspaces import (
    SharedKeyError,
    Workspace,
    WorkspaceTable,
    digest_key,
)


def decode_workspaces(document: Mapping[str, Any]) -> WorkspaceTable | None:
    """Return the workspaces of a configuration, ``None`` if it has none.

    Raises :class:`PlatformFormatError` if one of them is invalid. Its reason
    contains no key.
    """
    if document.get('tenants') is None:
        return None
    listed = document['tenants']
    if not isinstance(listed, list):
        raise PlatformFormatError(reason='tenants is not a list')
    try:
        return WorkspaceTable(workspaces=_decode_all(listed))
    except SharedKeyError as exc:
        first, second = exc.workspaces
        raise PlatformFormatError(
            reason=f'tenants {show(first)} and {show(second)} share a key',
        ) from exc


def _decode_all(listed: list[Any]) -> Iterator[Workspace]:
    names: set[str] = set()
    for written in listed:
        if not isinstance(written, Mapping):
            raise PlatformFormatError(reason='a tenant is not a table')
        workspace = _decode(written)
        if workspace.name in names:
            raise PlatformFormatError(
                reason=f'tenant {show(workspace.name)} is listed twice',
            )
        names.add(workspace.name)
        yield workspace


def _decode(written: Mapping[str, Any]) -> Workspace:
    name = get_field(written, 'name', str)
    return Workspace(
        name=name,
        key_digests=frozenset(_decode_keys(name, written)),
        priority=int(_decode_number(name, written, 'priority')),
        rate=_decode_number(name, written, 'rate_per_s') or None,
        burst=_decode_number(name, written, 'burst'),
    )


def _decode_keys(name: str, written: Mapping[str, Any]) -> Iterator[bytes]:
    keys = written.get('api_keys')
    if not isinstance(keys, list):
        raise PlatformFormatError(
            reason=f'tenant {show(name)} has no list of keys',
        )
    for key in keys:
        if not isinstance(key, str) or not key or not is_unicode(key):
            raise PlatformFormatError(
                reason=f'tenant {show(name)} has a key that is no text',
            )
        yield digest_key(key.encode())


def _decode_number(name: str, written: Mapping[str, Any], field: str) -> float:
    """Return an optional number that must not be negative, zero if missing."""
    if not written.get(field):
        return 0
    number = get_number(written, field)
    if number >= 0:
        return number
    raise PlatformFormatError(
        reason=f'tenant {show(name)}: {field} must be a number from 0 on',
    )
