"""Follow whether this daemon reads from the store, and tell its zone."""

from goldcrestwharf.loglines import EventLog
from goldcrestwharf.policy import PolicySnapshot
from goldcrestwharf.proxy._core import Core
from goldcrestwharf.proxy._document_messages import VersionNews
from goldcrestwharf.proxy._fleet import Fleet
from goldcrestwharf.proxy._sessions import Sessions

_log = EventLog(__name__)


def make_news(core: Core) -> VersionNews:
    """Return what this daemon says of its configuration."""
    return VersionNews(
        version=core.holder.version,
        reads_store=core.duty.has_contact,
    )


class StoreReading:
    """Join the duty of reading with the daemons of the zone."""

    def __init__(self, *, core: Core, fleet: Fleet, sessions: Sessions) -> None:
        """Tell others over ``sessions``; ``fleet`` knows who else reads."""
        self._core = core
        self._fleet = fleet
        self._sessions = sessions
        core.holder.watch(self._tell_version)

    def is_reader(self) -> bool:
        """Tell whether this daemon has to read from the store."""
        return self._core.duty.is_due(self._fleet.readers())

    def note_contact(self, *, has_contact: bool) -> None:
        """Hear whether this daemon reads from the store, with answers."""
        duty = self._core.duty
        if duty.has_contact == has_contact:
            return
        duty.has_contact = has_contact
        _log.note('daemon.reads_store', reads=has_contact)
        self._tell_zone()

    def _tell_version(self, snapshot: PolicySnapshot) -> None:
        if self._core.duty.has_contact:
            self._tell_zone()

    def _tell_zone(self) -> None:
        self._sessions.tell(make_news(self._core), zone=self._core.cfg.zone)
