"""Hold the configuration that the log says is in force."""

from goldcrestwharf.log import LogPage
from goldcrestwharf.replay._cursor import Cursor, PageFit
from goldcrestwharf.replay._envelope import read_entry
from goldcrestwharf.replay._journal import Journal
from goldcrestwharf.replay._lineage import Lineage
from goldcrestwharf.replay._snapshot import Snapshot
from goldcrestwharf.replay._state import ReplicaState
from goldcrestwharf.replay._track import Track


class Replica:
    """Follow the log page by page.

    The state is a function of the records alone: two replicas that have
    read the log up to the same record hold the same configuration, wherever
    they started. ``journal`` tells what was decided and skipped, ``cursor``
    what to read next, ``lineage`` what has been in force before; the two
    offsets are the bounds of the log when it was last read.
    """

    def __init__(self) -> None:
        """Start at the beginning of the log, without a configuration."""
        self.journal = Journal()
        self.lineage = Lineage()
        self.cursor = Cursor()
        self.first_offset = 0
        self.end_offset = 0
        self._track = Track(journal=self.journal, lineage=self.lineage)

    @property
    def snapshot(self) -> Snapshot | None:
        """Return the configuration that may be run, if there is one."""
        return None if self.lineage.is_broken else self._track.replay.snapshot

    @property
    def halt(self) -> str:
        """Return why the replica can't go on, empty if it can."""
        return self._track.halt

    @property
    def state(self) -> ReplicaState:
        """Return what the replica does with the log."""
        if self.halt:
            return ReplicaState.HALTED
        if self.lineage.is_broken:
            return ReplicaState.LOG_REPLACED
        if self._track.seek is None:
            return ReplicaState.FOLLOWING
        if self.cursor.position < self.end_offset:
            return ReplicaState.SEEKING
        return ReplicaState.NEEDS_PEERS

    def receive(self, page: LogPage) -> None:
        """Take a page that was read at the position or one record before.

        A gap makes the replica seek a checkpoint; a log that is another one
        is read again from its beginning.
        """
        self.first_offset = page.first_offset
        self.end_offset = page.end_offset
        if self.halt or not self._prepare(page):
            return
        for record in self.cursor.unread(page):
            entry = read_entry(record)
            self._track.take(entry)
            if self.halt:
                return
            self.cursor.advance(entry)
        if self._track.seek is None and self.cursor.position == self.end_offset:
            self.lineage.check_end(self._track.replay.snapshot)

    def adopt(self, snapshot: Snapshot, through: int | None = None) -> bool:
        """Go on from a peer's configuration if a start is wanted.

        ``through`` is the last record that the peer has read, if it reads
        the log itself. Tells whether the configuration was taken.
        """
        last = snapshot.version.offset if through is None else through
        if last >= self.cursor.position:
            return False
        return self._track.adopt(snapshot, last)

    def _prepare(self, page: LogPage) -> bool:
        fit = self.cursor.relate(page)
        if fit is PageFit.REPLACED:
            self.lineage.break_off()
            self.cursor = Cursor()
            self._track.restart()
            return False
        if fit is PageFit.GAP:
            self.cursor = Cursor(position=page.first_offset)
            self._track.seek_from(page.first_offset)
        return True
