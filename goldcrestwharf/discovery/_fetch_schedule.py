"""Schedule of the fetches of announced versions from other daemons."""

import attrs

#: Seconds after which a fetch without an answer is repeated, from another
#: daemon if one has the version too. Each repetition doubles the wait.
_FETCH_TIMEOUT_S = 0.5
_MAX_FETCH_TIMEOUT_S = 4.0
_MAX_DOUBLINGS = 8


@attrs.frozen(kw_only=True)
class Announcement:
    """Version that a daemon has, to be fetched at the monotonic time ``due``.

    Daemons of the local availability zone are preferred as sources.
    """

    daemon: str
    version: int
    due: float
    is_local_zone: bool


class FetchSchedule:
    """When to fetch from which daemon; all times are monotonic seconds.

    Each version keeps the time at which it is due: later announcements of
    higher versions don't put it off.
    """

    def __init__(self) -> None:
        """Start without announcements."""
        self._due: dict[int, float] = {}
        self._sources: dict[str, Announcement] = {}
        self._asked: set[str] = set()
        self._answer_due = float('-inf')
        self._tries = 0
        self._rejected = 0

    @property
    def next_due(self) -> float | None:
        """Return when to call :meth:`take_source`, ``None`` for never."""
        if not self._due:
            return None
        return max(min(self._due.values()), self._answer_due)

    def announce(self, announcement: Announcement) -> bool:
        """Add an announcement; return whether a fetch is due earlier for it.

        A version that was fetched and can't be used isn't fetched again.
        """
        version, due = announcement.version, announcement.due
        if version == self._rejected:
            return False
        self._sources[announcement.daemon] = announcement
        if any(
            known >= version and known_due <= due
            for known, known_due in self._due.items()
        ):
            return False
        self._due = {
            known: known_due
            for known, known_due in self._due.items()
            if known > version or known_due < due
        }
        self._due[version] = due
        return True

    def take_source(self, now: float) -> Announcement | None:
        """Return what to fetch now, and from which daemon, if it is due.

        The fetch is repeated after a timeout unless :meth:`adopt` is called.
        """
        next_due = self.next_due
        if next_due is None or now < next_due:
            return None
        if self._asked >= self._sources.keys():
            self._asked.clear()
        source = max(
            (
                source
                for source in self._sources.values()
                if source.daemon not in self._asked
            ),
            key=_rank_source,
        )
        self._asked.add(source.daemon)
        timeout = _FETCH_TIMEOUT_S * 2**self._tries
        self._answer_due = now + min(timeout, _MAX_FETCH_TIMEOUT_S)
        self._tries = min(self._tries + 1, _MAX_DOUBLINGS)
        return source

    def adopt(self, version: int) -> None:
        """Drop what ``version``, which is now active, makes needless."""
        self._end_fetch()
        self._due = {
            known: due for known, due in self._due.items() if known > version
        }
        self._sources = {
            name: source
            for name, source in self._sources.items()
            if source.version > version
        }

    def reject(self, version: int) -> None:
        """Give up a version that was fetched and can't be used."""
        self._end_fetch()
        self._rejected = version
        self._sources = {
            name: source
            for name, source in self._sources.items()
            if source.version != version
        }
        self._limit_due(
            max((one.version for one in self._sources.values()), default=0)
        )

    def _limit_due(self, highest: int) -> None:
        """Expect no version above ``highest``, zero for none at all."""
        earliest = min(self._due.values(), default=0)
        self._due = {
            known: due for known, due in self._due.items() if known <= highest
        }
        if highest:
            self._due.setdefault(highest, earliest)

    def _end_fetch(self) -> None:
        self._answer_due = float('-inf')
        self._asked.clear()
        self._tries = 0


def _rank_source(source: Announcement) -> tuple[bool, int]:
    return source.is_local_zone, source.version
