"""Replay the log from its beginning or from a later starting point."""

from goldcrestwharf.objects import UnknownRulesError
from goldcrestwharf.replay._envelope import Entry
from goldcrestwharf.replay._journal import Journal
from goldcrestwharf.replay._lineage import Lineage
from goldcrestwharf.replay._replay import Replay
from goldcrestwharf.replay._snapshot import Snapshot
from goldcrestwharf.replay._start_points import StartPoint, find_start
from goldcrestwharf.replay._start_search import StartSearch


class ReplayController:
    """The replay of the log.

    If the log no longer holds its first records, a starting point is searched
    first; ``search`` is ``None`` otherwise. ``halt_reason`` is why this
    release can't evaluate the next record, empty if it can. Once set it stays:
    the replica processes no more pages until the daemon restarts.
    """

    def __init__(self, *, journal: Journal, lineage: Lineage) -> None:
        """Start at the beginning of the log, without a configuration."""
        self.halt_reason = ''
        self.search: StartSearch | None = None
        self.replay = Replay(journal=journal, lineage=lineage)
        self._journal = journal
        self._lineage = lineage
        self._log_id = ''

    def identify_log(self, log_id: str) -> None:
        """Record the identity of the log, empty if it is not known."""
        self._log_id = log_id
        self.replay.log_id = log_id

    def restart(self) -> None:
        """Go back to the beginning of the log."""
        self._journal.reset()
        self.search = None
        self.replay = Replay(journal=self._journal, lineage=self._lineage)

    def search_from(self, first_offset: int) -> None:
        """Search for a starting point from ``first_offset`` on."""
        self.search = StartSearch(
            first_offset=first_offset, log_id=self._log_id
        )

    def process_entry(self, entry: Entry) -> None:
        """Process the next record."""
        try:
            self._process_entry(entry)
        except UnknownRulesError as exc:
            self.halt_reason = str(exc)

    def adopt(self, snapshot: Snapshot, through: int) -> bool:
        """Start from a peer's configuration; return whether it was adopted.

        It is the one that is active after the record at offset ``through``,
        and it is refused unless a starting point is needed and the log holds
        the record that created the configuration, or begins right after
        ``through`` with a change to it.
        """
        search = self.search
        if search is None:
            return False
        if not _is_confirmed(search, snapshot, through):
            return False
        self._start_replay(
            search, StartPoint(snapshot=snapshot, through=through)
        )
        return True

    def _process_entry(self, entry: Entry) -> None:
        if self.search is None:
            self.replay.apply(entry)
            return
        self.search.add(entry)
        start_point = find_start(self.search, entry)
        if start_point is not None:
            self._start_replay(self.search, start_point)

    def _start_replay(
        self, search: StartSearch, start_point: StartPoint
    ) -> None:
        self.search = None
        self.replay = Replay(
            journal=self._journal,
            lineage=self._lineage,
            snapshot=start_point.snapshot,
            log_id=self._log_id,
        )
        for entry in search.after(start_point.through):
            self.process_entry(entry)
            if self.halt_reason:
                return


def _is_confirmed(
    search: StartSearch, snapshot: Snapshot, through: int
) -> bool:
    if search.is_other_log(snapshot.log_id):
        return False
    if search.confirms_snapshot(snapshot):
        return True
    is_adjacent = through == search.first_offset - 1
    try:
        return is_adjacent and search.confirms_successor(snapshot)
    except UnknownRulesError:
        return False
