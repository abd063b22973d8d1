"""Workspaces of a configuration, and their lookup by key."""

import hashlib
from collections.abc import Iterable

import attrs

#: Size of a key's digest in bytes.
_DIGEST_BYTES = 16


def digest_key(key: bytes) -> bytes:
    """Return the digest by which a key is stored and looked up.

    The text of a key stays out of the tables, so that it can't get into logs
    or error messages.
    """
    return hashlib.blake2b(key, digest_size=_DIGEST_BYTES).digest()


@attrs.define(kw_only=True)
class SharedKeyError(Exception):
    """Key of two workspaces; give each workspace keys of its own."""

    workspaces: tuple[str, str]


@attrs.frozen(kw_only=True)
class Workspace:
    """Customer that shares the mesh with others.

    A lower ``priority`` is more urgent. ``rate`` is the limit of all daemons
    together in requests per second, ``None`` for no limit, and ``burst`` the
    number of requests that may exceed it for a moment.
    """

    name: str
    key_digests: frozenset[bytes]
    priority: int = 0
    rate: float | None = None
    burst: float = 0


class WorkspaceTable:
    """Workspaces of one configuration, found by name or by key."""

    def __init__(self, *, workspaces: Iterable[Workspace]) -> None:
        """Index ``workspaces``.

        Raises :class:`SharedKeyError` if two of them have the same key, since
        its callers could be of either.
        """
        self._by_name: dict[str, Workspace] = {}
        self._by_digest: dict[bytes, Workspace] = {}
        self.workspaces = tuple(workspaces)
        for workspace in self.workspaces:
            self._by_name[workspace.name] = workspace
            self._add_keys(workspace)

    def find(self, name: str) -> Workspace | None:
        """Return the workspace called ``name``."""
        return self._by_name.get(name)

    def find_by_key(self, key: bytes) -> Workspace | None:
        """Return the workspace that holds a key."""
        return self._by_digest.get(digest_key(key))

    def _add_keys(self, workspace: Workspace) -> None:
        for digest in workspace.key_digests:
            holder = self._by_digest.setdefault(digest, workspace)
            if holder is not workspace:
                raise SharedKeyError(
                    workspaces=(holder.name, workspace.name),
                )
