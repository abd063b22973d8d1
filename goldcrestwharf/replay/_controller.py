"""Replay the log from the earliest point where that is possible."""

from goldcrestwharf.objects import UnknownRulesError
from goldcrestwharf.replay._envelope import Entry
from goldcrestwharf.replay._journal import Journal
from goldcrestwharf.replay._lineage import Lineage
from goldcrestwharf.replay._replay import Replay
from goldcrestwharf.replay._snapshot import Snapshot
from goldcrestwharf.replay._start_points import StartPoint, find_start
from goldcrestwharf.replay._start_search import StartSearch


class ReplayController:
    """The replay of the log, after a search for a start if records are gone.

    ``search`` is ``None`` unless a starting point is needed; ``halt_reason``
    is why this release can't evaluate the next record, empty if it can.
    """

    def __init__(self, *, journal: Journal, lineage: Lineage) -> None:
        """Start at the beginning of the log, without a configuration."""
        self.halt_reason = ''
        self.search: StartSearch | None = None
        self.replay = Replay(journal=journal, lineage=lineage)
        self._journal = journal
        self._lineage = lineage

    def restart(self) -> None:
        """Go back to the beginning of the log."""
        self._journal.reset()
        self.search = None
        self.replay = Replay(journal=self._journal, lineage=self._lineage)

    def search_from(self, start: int) -> None:
        """Search for a starting point from the offset ``start`` on."""
        self.search = StartSearch(start=start)

    def process_entry(self, entry: Entry) -> None:
        """Process the next record."""
        try:
            self._process_entry(entry)
        except UnknownRulesError as exc:
            self.halt_reason = str(exc)

    def adopt(self, snapshot: Snapshot, through: int) -> bool:
        """Start from a peer's configuration, active after ``through``.

        It is refused unless a starting point is needed and the log holds the
        record that created the configuration, or begins right after
        ``through``.
        """
        search = self.search
        if search is None:
            return False
        is_adjacent = through == search.start - 1
        if not (is_adjacent or search.confirms_snapshot(snapshot)):
            return False
        self._resume(search, StartPoint(snapshot=snapshot, through=through))
        return True

    def _process_entry(self, entry: Entry) -> None:
        if self.search is None:
            self.replay.apply(entry)
            return
        self.search.add(entry)
        start = find_start(self.search, entry)
        if start is not None:
            self._resume(self.search, start)

    def _resume(self, search: StartSearch, start: StartPoint) -> None:
        self.search = None
        self.replay = Replay(
            journal=self._journal,
            lineage=self._lineage,
            snapshot=start.snapshot,
        )
        for entry in search.after(start.through):
            self.process_entry(entry)
            if self.halt_reason:
                return
