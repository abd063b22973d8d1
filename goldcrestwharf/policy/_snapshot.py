"""Adopt configurations, whole and never an older one."""

import enum
from collections.abc import Callable

import attrs

from goldcrestwharf.http1 import CallerLimits
from goldcrestwharf.policy._table import PolicyTable


class Adoption(enum.StrEnum):
    """Tell what became of a configuration that was offered."""

    ADOPTED = 'adopted'
    KNOWN = 'known'
    OLDER = 'older'


@attrs.frozen(kw_only=True)
class PolicySnapshot:
    """Hold one whole configuration.

    ``document`` has the bytes that it was decoded from, for daemons that
    can't reach the store. ``services`` names all that are defined.
    """

    version: int
    table: PolicyTable
    services: frozenset[str]
    limits: CallerLimits
    document: bytes


class PolicyHolder:
    """Hold the configuration in force; its version only rises."""

    def __init__(self) -> None:
        """Start without a configuration."""
        self.current: PolicySnapshot | None = None
        self._watchers: list[Callable[[PolicySnapshot], None]] = []

    @property
    def version(self) -> int:
        """Return the version in force, zero before the first one."""
        return 0 if self.current is None else self.current.version

    @property
    def limits(self) -> CallerLimits:
        """Return the limits on callers in force."""
        return CallerLimits() if self.current is None else self.current.limits

    def watch(self, watcher: Callable[[PolicySnapshot], None]) -> None:
        """Call ``watcher`` with each snapshot that is adopted."""
        self._watchers.append(watcher)

    def offer(self, snapshot: PolicySnapshot) -> Adoption:
        """Adopt ``snapshot`` if its version is higher than the one in force.

        The swap is one assignment, so each request sees one whole version.
        """
        if self.current is not None:
            if snapshot.version == self.current.version:
                return Adoption.KNOWN
            if snapshot.version < self.current.version:
                return Adoption.OLDER
        self.current = snapshot
        for watcher in self._watchers:
            watcher(snapshot)
        return Adoption.ADOPTED
