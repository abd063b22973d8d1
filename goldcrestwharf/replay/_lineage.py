"""Recognise a log that is not the one that the configuration came from."""

from goldcrestwharf.replay._snapshot import Snapshot
from goldcrestwharf.replay._version import Version


class Lineage:
    """Remember what has been in force and refuse what contradicts it.

    After the log was replaced, its versions count only from the next epoch
    on, or once it proves to hold the known version after all.
    """

    def __init__(self) -> None:
        """Start without any knowledge."""
        self.known: Snapshot | None = None
        self.is_broken = False
        self._floor: Version | None = None
        self._checked_floor: Version | None = None

    def raise_floor(self, version: Version) -> None:
        """Learn from a peer that ``version`` has been in force."""
        if self._floor is None or version > self._floor:
            self._floor = version

    def break_off(self) -> None:
        """Learn that the log was replaced."""
        self.is_broken = self._highest() is not None

    def admit(self, snapshot: Snapshot) -> None:
        """Learn that replaying the log led to ``snapshot``."""
        if self.is_broken and not self._mends(snapshot):
            return
        self.is_broken = False
        if self.known is None or snapshot.version > self.known.version:
            self.known = snapshot

    def check_end(self, snapshot: Snapshot | None) -> None:
        """Compare the version at the end of the log with the floor.

        A floor counts from the second call on, since the log may have been
        read before that version was published.
        """
        floor = self._checked_floor
        self._checked_floor = self._floor
        if floor is None:
            return
        if snapshot is None or snapshot.version < floor:
            self.is_broken = True

    def _mends(self, snapshot: Snapshot) -> bool:
        highest = self._highest()
        if highest is None or snapshot.version.epoch > highest.epoch:
            return True
        if self.known is None or self.known.version < highest:
            return False
        is_same = snapshot.digest == self.known.digest
        return is_same and snapshot.version == highest

    def _highest(self) -> Version | None:
        if self.known is None:
            return self._floor
        if self._floor is None:
            return self.known.version
        return max(self.known.version, self._floor)
