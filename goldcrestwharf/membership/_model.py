"""Define what daemons know of one another."""

import enum
from collections.abc import Sequence
from typing import Protocol

import attrs


class MemberState(enum.StrEnum):
    """Tell whether a daemon can be reached."""

    ALIVE = 'alive'
    SUSPECT = 'suspect'
    LEAVING = 'leaving'
    DEAD = 'dead'


class TargetState(enum.StrEnum):
    """Tell whether a target takes new requests."""

    READY = 'ready'
    LEAVING = 'leaving'


@attrs.frozen(kw_only=True)
class Target:
    """Describe a target as its VM's daemon announces it.

    ``address`` is ``host:port`` of the target itself; only its own VM's
    daemon connects there. ``cold_start_ms`` is how long the target hints
    that it is slow after its start; zero if it gave no hint.
    """

    name: str
    group: str
    address: str
    slots: int
    state: TargetState = TargetState.READY
    cold_start_ms: int = 0


@attrs.frozen(kw_only=True)
class Member:
    """Describe a daemon and the targets on its VM.

    ``(incarnation, revision)`` orders what is said of one daemon: the
    incarnation rises when it restarts or refutes a suspicion, the revision
    when its targets change.
    """

    vm: str
    zone: str
    address: str
    incarnation: int
    revision: int = 0
    state: MemberState = MemberState.ALIVE
    targets: tuple[Target, ...] = ()


class MembershipView(Protocol):
    """Answer what the other packages ask of the membership."""

    def own(self) -> Member:
        """Return this daemon's own record."""

    def members(self, zone: str | None = None) -> Sequence[Member]:
        """Return the members that are not dead, of one zone or of all."""

    def targets(self, group: str) -> Sequence[tuple[Member, Target]]:
        """Return the targets of a group that may take requests."""
