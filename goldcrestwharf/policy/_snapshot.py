"""The active configuration, replaced as a whole and only by newer ones."""

import enum
from collections.abc import Callable

import attrs

from goldcrestwharf.http1 import CallerLimits
from goldcrestwharf.policy._table import PolicyTable
from goldcrestwharf.workspaces import WorkspaceTable


class OfferResult(enum.StrEnum):
    """Result of offering a configuration."""

    ADOPTED = 'adopted'
    KNOWN = 'known'
    OLDER = 'older'


@attrs.frozen(kw_only=True)
class PolicySnapshot:
    """Decoded configuration of one version.

    ``document`` is its encoded form, to be sent to daemons that can't reach
    the store. ``services`` names all defined services. ``workspaces`` is
    ``None`` if requests need no keys.
    """

    version: int
    table: PolicyTable
    services: frozenset[str]
    limits: CallerLimits
    document: bytes
    workspaces: WorkspaceTable | None = None
    has_bulk_routes: bool = False

    @property
    def adapts_to_load(self) -> bool:
        """Return whether admission adapts to workspaces and mixed requests.

        Deployments whose requests are alike need none of it.
        """
        return self.has_bulk_routes or self.workspaces is not None


class PolicyHolder:
    """Holder of the active configuration; its version only increases."""

    def __init__(self) -> None:
        """Start without a configuration."""
        self.current: PolicySnapshot | None = None
        self._watchers: list[Callable[[PolicySnapshot], None]] = []

    @property
    def version(self) -> int:
        """Return the active version, zero before the first one."""
        return 0 if self.current is None else self.current.version

    @property
    def limits(self) -> CallerLimits:
        """Return the active limits on callers."""
        return CallerLimits() if self.current is None else self.current.limits

    @property
    def adapts_to_load(self) -> bool:
        """Return whether the active configuration adapts to load."""
        return self.current is not None and self.current.adapts_to_load

    def find_weight(self, workspace: str) -> float:
        """Return a workspace's weight in fair queueing.

        It is the rate in requests per second, and 1 without one.
        """
        workspaces = self.current.workspaces if self.current else None
        known = workspaces.find(workspace) if workspaces else None
        if known is None or known.rate is None:
            return 1
        return known.rate

    def watch(self, watcher: Callable[[PolicySnapshot], None]) -> None:
        """Call ``watcher`` with each adopted snapshot."""
        self._watchers.append(watcher)

    def offer(self, snapshot: PolicySnapshot) -> OfferResult:
        """Adopt ``snapshot`` if its version is higher than the current one.

        The replacement is one assignment, so a request never sees a mix of
        two versions.
        """
        if self.current is not None:
            if snapshot.version == self.current.version:
                return OfferResult.KNOWN
            if snapshot.version < self.current.version:
                return OfferResult.OLDER
        self.current = snapshot
        for watcher in self._watchers:
            watcher(snapshot)
        return OfferResult.ADOPTED
