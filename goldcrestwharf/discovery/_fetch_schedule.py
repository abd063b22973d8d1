"""Schedule of the fetches of announced versions from other daemons."""

import math
from collections.abc import Mapping

import attrs

#: Seconds after which a fetch without an answer is repeated, from another
#: daemon if one has the version too. Each repetition doubles the wait.
_FETCH_TIMEOUT_S = 0.5
_MAX_FETCH_TIMEOUT_S = 4.0
_MAX_DOUBLINGS = 8

#: Number of unusable versions that are remembered.
_MAX_REJECTED = 64


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
    higher versions don't put it off. No version is due that no daemon has.
    """

    def __init__(self) -> None:
        """Start without announcements."""
        self._due: dict[int, float] = {}
        self._sources: dict[str, Announcement] = {}
        self._asked: set[str] = set()
        self._answer_due = float('-inf')
        self._tries = 0
        self._rejected: dict[int, None] = {}

    @property
    def next_due(self) -> float | None:
        """Return when to call :meth:`take_source`, ``None`` for never."""
        if not self._due:
            return None
        return max(min(self._due.values()), self._answer_due)

    def announce(self, announcement: Announcement, now: float) -> bool:
        """Add an announcement; return whether a fetch is due earlier for it.

        It takes the place of an earlier one of the daemon. A version that was
        fetched and can't be used isn't fetched again.
        """
        version, due = announcement.version, announcement.due
        if version in self._rejected:
            return False
        self._sources[announcement.daemon] = announcement
        is_news = not any(
            known >= version and known_due <= due
            for known, known_due in self._due.items()
        )
        if is_news:
            self._due[version] = due
        self._due = _merge(self._due, self._highest, now)
        return is_news

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
        self._answer_due = float('-inf')
        self._asked.clear()
        self._tries = 0
        self._due = {
            known: due for known, due in self._due.items() if known > version
        }
        self._sources = {
            name: source
            for name, source in self._sources.items()
            if source.version > version
        }

    def reject(self, daemon: str, version: int) -> None:
        """Give up a version that was fetched and can't be used.

        The daemon may have announced an earlier one than it has now. Other
        fetches wait as if there had been no answer.
        """
        source = self._sources.get(daemon)
        self._rejected[version] = None
        if source is not None:
            self._rejected[source.version] = None
        while len(self._rejected) > _MAX_REJECTED:
            self._rejected.pop(next(iter(self._rejected)))
        self._sources = {
            name: source
            for name, source in self._sources.items()
            if source.version not in self._rejected
        }
        self._due = _merge(self._due, self._highest, -math.inf)

    @property
    def _highest(self) -> int:
        """Return the highest version that a daemon has, zero if none has."""
        return max(
            (source.version for source in self._sources.values()), default=0
        )


def _merge(
    due: Mapping[int, float], highest: int, now: float
) -> dict[int, float]:
    """Return when versions are due, up to the ``highest`` that can be had.

    Those that are overdue count as one, as one fetch brings them all.
    """
    if not highest:
        return {}
    overdue = max(
        (version for version in due if due[version] <= now), default=0
    )
    merged: dict[int, float] = {}
    for version in due:
        to_fetch = min(max(version, overdue), highest)
        earlier = merged.get(to_fetch, math.inf)
        merged[to_fetch] = min(due[version], earlier)
    return merged


def _rank_source(source: Announcement) -> tuple[bool, int]:
    return source.is_local_zone, source.version
