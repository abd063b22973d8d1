"""Store the highest configuration version that members reported.

VMs have no persistent storage, so a daemon that restarts gets its version
floor from its peers.
"""

from collections import Counter
from collections.abc import Mapping

from goldcrestwharf.replay import Version


class Witness:
    """Highest and latest version reported for each VM."""

    def __init__(self, *, capacity: int) -> None:
        """Store the versions of ``capacity`` VMs at most."""
        self._capacity = capacity
        self._highest: dict[str, Version] = {}
        self._latest: dict[str, str] = {}

    def record_running(self, vm: str, running: str) -> None:
        """Record that ``vm`` runs the version written as ``running``.

        An empty or malformed text is ignored.
        """
        version = parse_version(running)
        if version is None or not self._can_store(vm):
            return
        self._latest[vm] = running
        self._raise_floor(vm, version)

    def record_floor(self, vm: str, floor: str) -> None:
        """Record the highest version of ``vm`` that a peer has stored."""
        version = parse_version(floor)
        if version is not None:
            self._raise_floor(vm, version)

    def floor_for(self, vm: str) -> str:
        """Return the highest version reported for ``vm``, or ``''``."""
        version = self._highest.get(vm)
        return '' if version is None else str(version)

    def versions(self) -> Mapping[str, int]:
        """Return how many VMs reported each version last."""
        return Counter(self._latest.values())

    def _raise_floor(self, vm: str, version: Version) -> None:
        floor = self._highest.get(vm)
        if floor is None or version > floor:
            self._highest[vm] = version

    def _can_store(self, vm: str) -> bool:
        return vm in self._highest or len(self._highest) < self._capacity


def parse_version(text: str) -> Version | None:
    """Return the version that ``text`` names, or ``None``."""
    try:
        return Version.parse(text)
    except ValueError:
        return None
