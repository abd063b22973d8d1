"""Role of this daemon as a reader of the store."""

from collections.abc import Callable

from goldcrestwharf.discovery import ReaderWithdrawals
from goldcrestwharf.loglines import EventLog
from goldcrestwharf.policy import PolicySnapshot
from goldcrestwharf.proxy._core import Core
from goldcrestwharf.proxy._document_messages import VersionUpdate
from goldcrestwharf.proxy._fleet import Fleet
from goldcrestwharf.proxy._sessions import Sessions
from goldcrestwharf.proxy._zone_query import ZoneQuery

_log = EventLog(__name__)


def make_version_update(core: Core) -> VersionUpdate:
    """Return the version update of this daemon."""
    return VersionUpdate(
        version=core.holder.version,
        reads_store=core.reader_election.has_contact,
        store_epoch=core.store_epochs.current,
    )


class ReaderRole:
    """Reader role, announced to the other daemons of the zone."""

    def __init__(self, *, core: Core, fleet: Fleet, sessions: Sessions) -> None:
        """Announce over ``sessions``; get other readers from ``fleet``."""
        self._core = core
        self._fleet = fleet
        self._sessions = sessions
        self._was_lead = False
        self._election_log = _ElectionLog(core=core)
        self._withdrawals = ReaderWithdrawals()
        self._zone_query = ZoneQuery(core=core, fleet=fleet)
        self._watchers: list[Callable[[], None]] = []
        core.holder.watch(self._announce_version)
        core.store_epochs.watch(self._announce_restore)

    def is_reader(self) -> bool:
        """Return whether this daemon has to read from the store."""
        return self._core.reader_election.should_read(
            self._fleet.reader_claims()
        )

    def is_lead(self) -> bool:
        """Return whether this daemon is the first reader of its zone."""
        return self._core.reader_election.is_lead

    def watch_stale_read(self, handle_stale_read: Callable[[], None]) -> None:
        """Call ``handle_stale_read`` when a waiting read may be in vain.

        That is when this daemon becomes the first reader of its zone, or
        another reader of the zone has lost the store.
        """
        self._watchers.append(handle_stale_read)

    def check(self, now: float) -> None:
        """Notice that other readers came, went or lost the store.

        ``now`` is in monotonic seconds.
        """
        claims = tuple(self._fleet.reader_claims())
        self._election_log.note(
            is_elected=self._core.reader_election.should_read(claims)
        )
        is_lead = self.is_lead()
        has_changed = is_lead != self._was_lead
        self._was_lead = is_lead
        if has_changed:
            _log.note('daemon.reads_first', is_first=is_lead)
        has_withdrawn = self._withdrawals.notice(claims)
        if has_withdrawn:
            self._core.reader_election.doubt_readers()
        if has_withdrawn or (has_changed and is_lead):
            for handle_stale_read in self._watchers:
                handle_stale_read()
        self._zone_query.check(now)

    def record_contact(self, *, has_contact: bool) -> None:
        """Record whether reads from the store succeed."""
        reader_election = self._core.reader_election
        if reader_election.has_contact == has_contact:
            return
        reader_election.has_contact = has_contact
        _log.note('daemon.reads_store', reads=has_contact)
        self._announce_to_zone()

    def record_wait(self, *, is_waiting: bool) -> None:
        """Record whether a read waits for the next record of the store."""
        self._core.reader_election.is_waiting = is_waiting

    def _announce_version(self, snapshot: PolicySnapshot) -> None:
        if self._core.reader_election.has_contact:
            self._announce_to_zone()

    def _announce_restore(self, is_direct: bool) -> None:
        # Those who were told leave it to the one that noticed.
        if is_direct:
            self._sessions.broadcast(make_version_update(self._core))

    def _announce_to_zone(self) -> None:
        self._sessions.broadcast(
            make_version_update(self._core), zone=self._core.cfg.zone
        )


class _ElectionLog:
    """Log of when this daemon is elected as a reader, and whether it reads."""

    def __init__(self, *, core: Core) -> None:
        self._core = core
        self._was_elected = False

    def note(self, *, is_elected: bool) -> None:
        """Write a line if the result has changed."""
        if is_elected == self._was_elected:
            return
        self._was_elected = is_elected
        _log.note(
            'daemon.elected_reader',
            is_elected=is_elected,
            reads=self._core.reader_election.has_contact,
        )
