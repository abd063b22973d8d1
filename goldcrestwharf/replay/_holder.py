"""Hold the configuration that a daemon runs and enforce a version floor."""

import anyio

from goldcrestwharf.replay._snapshot import Snapshot
from goldcrestwharf.replay._version import Version


class SnapshotHolder:
    """The configuration that the daemon runs; its version never decreases.

    ``snapshot`` is ``None`` before the first one, ``floor`` is the lowest
    version that the daemon may run and ``floor_digest`` the digest of that
    version, empty if it is not known.
    """

    def __init__(self) -> None:
        """Start without a configuration."""
        self.snapshot: Snapshot | None = None
        self.floor: Version | None = None
        self.floor_digest = ''
        self._changed = anyio.Event()

    def offer(self, snapshot: Snapshot) -> bool:
        """Activate ``snapshot`` if it is newer; return whether it was."""
        if not self._is_newer(snapshot):
            return False
        self.snapshot = snapshot
        self.floor = snapshot.version
        self.floor_digest = snapshot.digest
        self._changed.set()
        self._changed = anyio.Event()
        return True

    def raise_floor(self, version: Version, digest: str = '') -> None:
        """Refuse all versions below ``version`` from now on.

        If ``digest`` is given, different content under the same version is
        refused as well.
        """
        if self.floor is None or version > self.floor:
            self.floor = version
            self.floor_digest = digest

    async def wait_newer(self, than: Version | None) -> Snapshot:
        """Return the snapshot once its version is higher than ``than``."""
        while True:
            current = self.snapshot
            if current is not None and (than is None or current.version > than):
                return current
            await self._changed.wait()

    def _is_newer(self, snapshot: Snapshot) -> bool:
        version = snapshot.version
        if self.floor is not None and version < self.floor:
            return False
        known = self.floor_digest if version == self.floor else ''
        if known and snapshot.digest != known:
            return False
        return self.snapshot is None or version > self.snapshot.version
