"""Remember the highest configuration version that members reported.

VMs keep nothing, so a daemon that restarts learns from its peers below
which version it must not go.
"""

from collections import Counter
from collections.abc import Mapping

from goldcrestwharf.replay import Version


class Witness:
    """Keep the highest and the latest version reported for each VM."""

    def __init__(self, *, capacity: int) -> None:
        """Remember at most ``capacity`` VMs."""
        self._capacity = capacity
        self._highest: dict[str, Version] = {}
        self._latest: dict[str, str] = {}

    def note(self, vm: str, running: str) -> None:
        """Record that ``vm`` runs the version written as ``running``.

        An empty or malformed text is ignored.
        """
        version = parse_version(running)
        if version is None or not self._has_room(vm):
            return
        self._latest[vm] = running
        self._raise(vm, version)

    def note_floor(self, vm: str, written: str) -> None:
        """Record what a peer remembers as the highest version of ``vm``."""
        version = parse_version(written)
        if version is not None:
            self._raise(vm, version)

    def floor_for(self, vm: str) -> str:
        """Return the highest version reported for ``vm``, or ``''``."""
        version = self._highest.get(vm)
        return '' if version is None else str(version)

    def versions(self) -> Mapping[str, int]:
        """Return how many VMs reported each version last."""
        return Counter(self._latest.values())

    def _raise(self, vm: str, version: Version) -> None:
        floor = self._highest.get(vm)
        if floor is None or version > floor:
            self._highest[vm] = version

    def _has_room(self, vm: str) -> bool:
        return vm in self._highest or len(self._highest) < self._capacity


def parse_version(written: str) -> Version | None:
    """Return the version that ``written`` names, or ``None``."""
    try:
        return Version.parse(written)
    except ValueError:
        return None
