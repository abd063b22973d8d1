"""Maintain the configuration that the log defines."""

from goldcrestwharf.log import LogPage
from goldcrestwharf.replay._controller import ReplayController
from goldcrestwharf.replay._cursor import Cursor, PageRelation
from goldcrestwharf.replay._envelope import read_entry
from goldcrestwharf.replay._journal import Journal
from goldcrestwharf.replay._lineage import Lineage
from goldcrestwharf.replay._snapshot import Snapshot
from goldcrestwharf.replay._state import ReplicaState


class Replica:
    """A replicated state machine that follows the log page by page.

    The state is a function of the records alone: two replicas that have read
    the log up to the same record hold the same configuration, wherever they
    started. ``journal`` records what was decided and skipped, ``cursor`` is
    the read position, ``lineage`` the highest version known to have been
    active; the two offsets are the bounds of the log when it was last read.
    """

    def __init__(self) -> None:
        """Start at the beginning of the log, without a configuration."""
        self.journal = Journal()
        self.lineage = Lineage()
        self.cursor = Cursor()
        self.first_offset = 0
        self.end_offset = 0
        self._controller = ReplayController(
            journal=self.journal, lineage=self.lineage
        )

    @property
    def snapshot(self) -> Snapshot | None:
        """Return the configuration that may be activated, if any."""
        return (
            None
            if self.lineage.is_log_replaced
            else self._controller.replay.snapshot
        )

    @property
    def halt_reason(self) -> str:
        """Return why the replica can't continue, empty if it can."""
        return self._controller.halt_reason

    @property
    def state(self) -> ReplicaState:
        """Return the replica's state relative to the log."""
        if self.halt_reason:
            return ReplicaState.HALTED
        if self.lineage.is_log_replaced:
            return ReplicaState.LOG_REPLACED
        if self._controller.search is None:
            return ReplicaState.FOLLOWING
        if self.cursor.position < self.end_offset:
            return ReplicaState.SEEKING
        return ReplicaState.NEEDS_PEERS

    def receive(self, page: LogPage) -> None:
        """Process a page that was read at the position or one record before.

        After a gap the replica searches for a checkpoint; a replaced log is
        read again from its beginning.
        """
        self.first_offset = page.first_offset
        self.end_offset = page.end_offset
        if self.halt_reason or not self._handle_discontinuity(page):
            return
        for record in self.cursor.iterate_unread(page):
            entry = read_entry(record)
            self._controller.process_entry(entry)
            if self.halt_reason:
                return
            self.cursor.advance(entry)
        if (
            self._controller.search is None
            and self.cursor.position == self.end_offset
        ):
            self.lineage.check_log_end(self._controller.replay.snapshot)

    def adopt(self, snapshot: Snapshot, through: int | None = None) -> bool:
        """Continue from a peer's configuration if a starting point is needed.

        ``through`` is the last record that the peer has read, if it reads
        the log itself. Returns whether the configuration was adopted.
        """
        last = snapshot.version.offset if through is None else through
        if last >= self.cursor.position:
            return False
        return self._controller.adopt(snapshot, last)

    def _handle_discontinuity(self, page: LogPage) -> bool:
        relation = self.cursor.compare_page(page)
        if relation is PageRelation.REPLACED:
            self.lineage.mark_replaced()
            self.cursor = Cursor()
            self._controller.restart()
            return False
        self._controller.identify_log(page.log_id)
        if relation is PageRelation.GAP:
            self.cursor = Cursor(position=page.first_offset)
            self._controller.search_from(page.first_offset)
        self.cursor.log_id = page.log_id
        return True
