"""Hold the configuration that a daemon runs and guard its version."""

import anyio

from goldcrestwharf.replay._snapshot import Snapshot
from goldcrestwharf.replay._version import Version


class Holder:
    """Swap whole snapshots, never to a lower version.

    ``snapshot`` is what the daemon runs, ``None`` before the first one, and
    ``floor`` the lowest version that it may run.
    """

    def __init__(self) -> None:
        """Start without a configuration."""
        self.snapshot: Snapshot | None = None
        self.floor: Version | None = None
        self._changed = anyio.Event()

    def offer(self, snapshot: Snapshot) -> bool:
        """Run ``snapshot`` if it is newer; tell whether it is run now."""
        if not self._is_newer(snapshot.version):
            return False
        self.snapshot = snapshot
        self.floor = snapshot.version
        self._changed.set()
        self._changed = anyio.Event()
        return True

    def raise_floor(self, version: Version) -> None:
        """Refuse all versions below ``version`` from now on."""
        if self.floor is None or version > self.floor:
            self.floor = version

    async def wait_newer(self, than: Version | None) -> Snapshot:
        """Return the snapshot once its version is higher than ``than``."""
        while True:
            current = self.snapshot
            if current is not None and (than is None or current.version > than):
                return current
            await self._changed.wait()

    def _is_newer(self, version: Version) -> bool:
        if self.floor is not None and version < self.floor:
            return False
        return self.snapshot is None or version > self.snapshot.version
