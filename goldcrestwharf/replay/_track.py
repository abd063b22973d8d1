"""Replay from the first place in the log that suffices for it."""

from goldcrestwharf.objects import UnknownRulesError
from goldcrestwharf.replay._envelope import Entry
from goldcrestwharf.replay._journal import Journal
from goldcrestwharf.replay._lineage import Lineage
from goldcrestwharf.replay._replay import Replay
from goldcrestwharf.replay._search import Start, find_start
from goldcrestwharf.replay._seek import Seek
from goldcrestwharf.replay._snapshot import Snapshot


class Track:
    """Replay the log, seeking a start first where records are missing.

    ``seek`` is ``None`` unless a start is wanted; ``halt`` tells why this
    release can't judge the next record, empty if it can.
    """

    def __init__(self, *, journal: Journal, lineage: Lineage) -> None:
        """Start at the beginning of the log, without a configuration."""
        self.halt = ''
        self.seek: Seek | None = None
        self.replay = Replay(journal=journal, lineage=lineage)
        self._journal = journal
        self._lineage = lineage

    def restart(self) -> None:
        """Go back to the beginning of the log."""
        self._journal.start_over()
        self.seek = None
        self.replay = Replay(journal=self._journal, lineage=self._lineage)

    def seek_from(self, start: int) -> None:
        """Look for a start among the records from offset ``start`` on."""
        self.seek = Seek(start=start)

    def take(self, entry: Entry) -> None:
        """Take the next record."""
        try:
            self._take(entry)
        except UnknownRulesError as exc:
            self.halt = str(exc)

    def adopt(self, snapshot: Snapshot, through: int) -> bool:
        """Start from a peer's configuration, in force after ``through``.

        It is refused unless a start is wanted and the log holds the record
        that led to it, or goes on right after ``through``.
        """
        seek = self.seek
        if seek is None:
            return False
        is_adjacent = through == seek.start - 1
        if not (is_adjacent or seek.confirms_snapshot(snapshot)):
            return False
        self._resume(seek, Start(snapshot=snapshot, through=through))
        return True

    def _take(self, entry: Entry) -> None:
        if self.seek is None:
            self.replay.take(entry)
            return
        self.seek.add(entry)
        start = find_start(self.seek, entry)
        if start is not None:
            self._resume(self.seek, start)

    def _resume(self, seek: Seek, start: Start) -> None:
        self.seek = None
        self.replay = Replay(
            journal=self._journal,
            lineage=self._lineage,
            snapshot=start.snapshot,
        )
        for entry in seek.after(start.through):
            self.take(entry)
            if self.halt:
                return
