"""Define the records that daemons exchange about members and targets."""

import enum
from collections.abc import Sequence
from typing import Protocol

import attrs


class MemberState(enum.StrEnum):
    """State of a daemon; the order of the values is that of their ranks."""

    ALIVE = 'alive'
    SUSPECT = 'suspect'
    LEAVING = 'leaving'
    DEAD = 'dead'


class TargetState(enum.StrEnum):
    """Whether a target takes new requests."""

    READY = 'ready'
    LEAVING = 'leaving'


@attrs.frozen(kw_only=True)
class Target:
    """Target as its VM's daemon announces it.

    ``address`` is ``host:port`` of the target itself; only the daemon on
    its VM connects there. ``cold_start_ms`` is how long the target says
    that it is slow after its start; zero if it doesn't say.
    """

    name: str
    group: str
    address: str
    slots: int
    state: TargetState = TargetState.READY
    cold_start_ms: int = 0


@attrs.frozen(kw_only=True)
class Member:
    """Record of a daemon and the targets on its VM.

    ``(incarnation, revision)`` orders the records of one daemon: the
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
    """Read access to the membership for the other packages."""

    def local_member(self) -> Member:
        """Return this daemon's own record."""

    def members(self, zone: str | None = None) -> Sequence[Member]:
        """Return the members that are not dead, of one zone or of all."""

    def targets(self, group: str) -> Sequence[tuple[Member, Target]]:
        """Return the targets of a group that may take requests."""
