"""Detect that the log isn't the one that the configuration came from."""

import attrs

from goldcrestwharf.replay._snapshot import Snapshot
from goldcrestwharf.replay._version import Version


@attrs.frozen(kw_only=True)
class KnownVersion:
    """A version that some daemon has run.

    ``digest`` is empty if it is not known.
    """

    version: Version
    digest: str = ''

    def matches(self, snapshot: Snapshot) -> bool:
        """Return whether ``snapshot`` has this version and digest."""
        if not self.digest:
            return False
        return (self.version, self.digest) == (
            snapshot.version,
            snapshot.digest,
        )

    def conflicts_with(self, base: Version | None, snapshot: Snapshot) -> bool:
        """Return whether a change to ``snapshot`` belongs to another log.

        That is the case if the change skips this version, or if it has the
        same version number but different content.
        """
        version = snapshot.version
        if version.epoch != self.version.epoch or version < self.version:
            return False
        if version == self.version:
            return self.digest not in {'', snapshot.digest}
        return base is None or base < self.version


class Lineage:
    """The highest version known to have been active, checked against the log.

    After the log was replaced, its versions count only from the next epoch
    on, or once the log turns out to hold the highest known version after
    all.
    """

    def __init__(self) -> None:
        """Start without a known version."""
        self.is_log_replaced = False
        self._highest_known: KnownVersion | None = None
        self._highest_at_last_check: KnownVersion | None = None

    @property
    def epoch(self) -> int:
        """Return the latest known epoch, zero if there is none."""
        return (
            0
            if self._highest_known is None
            else self._highest_known.version.epoch
        )

    def record_version(self, version: Version, digest: str = '') -> None:
        """Record that some daemon has run ``version``."""
        if self._highest_known is None or version > self._highest_known.version:
            self._highest_known = KnownVersion(version=version, digest=digest)

    def mark_replaced(self) -> None:
        """Record that the log was replaced."""
        self.is_log_replaced = self._highest_known is not None

    def record_step(self, base: Version | None, snapshot: Snapshot) -> None:
        """Record that the log changes ``base`` to ``snapshot``."""
        if self._conflicts_with_history(base, snapshot):
            self.is_log_replaced = True
            return
        self.is_log_replaced = False
        self.record_version(snapshot.version, snapshot.digest)

    def check_log_end(self, snapshot: Snapshot | None) -> None:
        """Compare the end of the log with the highest known version.

        A version is compared from the second call after it was recorded,
        because the page may have been read before it was published.
        """
        checked = self._highest_at_last_check
        self._highest_at_last_check = self._highest_known
        if checked is None:
            return
        if snapshot is None or snapshot.version < checked.version:
            self.is_log_replaced = True

    def _conflicts_with_history(
        self, base: Version | None, snapshot: Snapshot
    ) -> bool:
        if self._highest_known is None:
            return False
        if not self.is_log_replaced:
            return self._highest_known.conflicts_with(base, snapshot)
        if snapshot.version.epoch > self._highest_known.version.epoch:
            return False
        return not self._highest_known.matches(snapshot)
