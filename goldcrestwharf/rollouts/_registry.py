"""Versions of each service that may get its requests.

Without an order, a version that no other target of the service had is held
back for a while, since the order that limits it may be in transit.
"""

import math
from collections.abc import Callable, Iterable, Mapping
from typing import Protocol, TypeVar

#: Seconds for which a new version without an order is held back. An order
#: reaches all daemons within less.
HOLD_S = 2.0

#: Seconds for which a version must have been the only one for an order of the
#: same version to be without effect.
_SETTLED_S = 5.0

#: Version of targets that name none, for example beside a daemon of an earlier
#: release.
_UNKNOWN = ''


class VersionedTarget(Protocol):
    """Target with the version of its software."""

    @property
    def version(self) -> str:
        """Return the version, empty if unknown."""

    @property
    def started_ms(self) -> int:
        """Return the start of the target in Unix milliseconds."""

    @property
    def is_draining(self) -> bool:
        """Return whether the target is about to stop."""


_TargetT = TypeVar('_TargetT', bound=VersionedTarget)


class VersionRegistry:
    """Established versions by service; the others are held back.

    After a start of this daemon, the version of the target that has run
    longest is established: it was there before the order.
    """

    def __init__(
        self,
        *,
        clock: Callable[[], float],
        has_contact: Callable[[], bool],
    ) -> None:
        """Hold new versions back while ``has_contact`` is false.

        It returns whether a daemon in reach reads orders from the store.
        """
        self._clock = clock
        self._has_contact = has_contact
        self._established: dict[str, set[str]] = {}
        self._seen_at: dict[tuple[str, str], float] = {}

    def is_established(self, service: str, version: str) -> bool:
        """Return whether a version may get all requests."""
        return version in self._established.get(service, ())

    def select(
        self,
        service: str,
        targets: list[_TargetT],
        ordered: str | None = None,
    ) -> list[_TargetT]:
        """Return the targets of established versions.

        ``ordered`` is the version that an order names, if there is one; such
        a version is never established here.
        """
        known = self._established.setdefault(service, {_UNKNOWN})
        allowed = [one for one in targets if one.version in known]
        if len(allowed) == len(targets):
            return targets
        if ordered is not None and any(map(_takes_requests, allowed)):
            return allowed
        self._classify(service, targets, ordered)
        return [one for one in targets if one.version in known]

    def begin_order(self, service: str, version: str) -> None:
        """Put the ordered version on trial, unless it is the only one."""
        known = self._established.setdefault(service, {_UNKNOWN})
        seen_at = self._seen_at.get((service, version), self._clock())
        is_settled = self._clock() - seen_at >= _SETTLED_S
        if known - {_UNKNOWN, version} or not is_settled:
            known.discard(version)

    def complete(self, service: str, version: str) -> None:
        """Establish the ordered version in place of all others."""
        known = self._established.setdefault(service, set())
        known.clear()
        known.update((_UNKNOWN, version))
        self._seen_at[service, version] = -math.inf

    def reject(self, service: str, version: str) -> None:
        """Withdraw a version that was rolled back."""
        self._established.setdefault(service, {_UNKNOWN}).discard(version)

    def _classify(
        self, service: str, targets: Iterable[_TargetT], ordered: str | None
    ) -> None:
        """Establish versions that need not be held back any longer."""
        known = self._established[service]
        starts = _find_starts(targets)
        for version in starts:
            self._seen_at.setdefault((service, version), self._clock())
        present = known & starts.keys()
        others = starts.keys() - known - {ordered}
        if not present:
            known.update(sorted(others, key=starts.__getitem__)[:1])
            return
        self._replace_recent(service, starts, present, others)
        if self._has_contact():
            known.update(others - self._find_recent(service, others))

    def _replace_recent(
        self,
        service: str,
        starts: Mapping[str, int],
        present: set[str],
        others: set[str],
    ) -> None:
        """Establish a version that began earlier than the known ones.

        These were just seen first because their daemons were reached first.
        """
        known = self._established[service]
        began_ms = min(starts[one] for one in present)
        earlier = {one for one in others if starts[one] < began_ms}
        if earlier:
            known.difference_update(self._find_recent(service, present))
            known.update(earlier)

    def _find_recent(self, service: str, versions: Iterable[str]) -> set[str]:
        held_from = self._clock() - HOLD_S
        return {
            one for one in versions if self._seen_at[service, one] > held_from
        }


def _takes_requests(target: VersionedTarget) -> bool:
    return bool(target.version) and not target.is_draining


def _find_starts(targets: Iterable[VersionedTarget]) -> dict[str, int]:
    """Return the earliest start of the targets of each version, in ms."""
    starts: dict[str, int] = {}
    for target in targets:
        if _takes_requests(target):
            known = starts.get(target.version, target.started_ms)
            starts[target.version] = min(known, target.started_ms)
    return starts
