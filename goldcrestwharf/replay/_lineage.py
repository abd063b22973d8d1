"""Recognise a log that is not the one that the configuration came from."""

import attrs

from goldcrestwharf.replay._snapshot import Snapshot
from goldcrestwharf.replay._version import Version


@attrs.frozen(kw_only=True)
class Witness:
    """Hold a version that has been in force somewhere.

    ``digest`` is empty if it is not known.
    """

    version: Version
    digest: str = ''

    def is_same(self, snapshot: Snapshot) -> bool:
        """Tell whether ``snapshot`` is what was witnessed."""
        if not self.digest:
            return False
        return (self.version, self.digest) == (
            snapshot.version,
            snapshot.digest,
        )

    def contradicts(self, base: Version | None, snapshot: Snapshot) -> bool:
        """Tell whether a step to ``snapshot`` is of another log.

        That is so if it goes past the witnessed version, or has its number
        but another content.
        """
        version = snapshot.version
        if version.epoch != self.version.epoch or version < self.version:
            return False
        if version == self.version:
            return self.digest not in {'', snapshot.digest}
        return base is None or base < self.version


class Lineage:
    """Remember what has been in force and refuse what contradicts it.

    After the log was replaced, its versions count only from the next epoch
    on, or once it proves to hold the highest known version after all.
    """

    def __init__(self) -> None:
        """Start without any knowledge."""
        self.is_broken = False
        self._highest: Witness | None = None
        self._checked: Witness | None = None

    @property
    def epoch(self) -> int:
        """Return the latest epoch that is known, zero before any."""
        return 0 if self._highest is None else self._highest.version.epoch

    def witness(self, version: Version, digest: str = '') -> None:
        """Learn that ``version`` has been in force somewhere."""
        if self._highest is None or version > self._highest.version:
            self._highest = Witness(version=version, digest=digest)

    def break_off(self) -> None:
        """Learn that the log was replaced."""
        self.is_broken = self._highest is not None

    def step(self, base: Version | None, snapshot: Snapshot) -> None:
        """Learn that the log leads from ``base`` to ``snapshot``."""
        if self._refuses(base, snapshot):
            self.is_broken = True
            return
        self.is_broken = False
        self.witness(snapshot.version, snapshot.digest)

    def check_end(self, snapshot: Snapshot | None) -> None:
        """Compare the end of the log with the highest known version.

        A version counts from the second call on, since the log may have
        been read before it was published.
        """
        checked = self._checked
        self._checked = self._highest
        if checked is None:
            return
        if snapshot is None or snapshot.version < checked.version:
            self.is_broken = True

    def _refuses(self, base: Version | None, snapshot: Snapshot) -> bool:
        if self._highest is None:
            return False
        if not self.is_broken:
            return self._highest.contradicts(base, snapshot)
        if snapshot.version.epoch > self._highest.version.epoch:
            return False
        return not self._highest.is_same(snapshot)
