"""Schedule of the fetches of announced versions from other daemons."""

import math
from collections.abc import Mapping

import attrs

#: Seconds after which a fetch without an answer is repeated at a daemon that
#: was not asked yet. Once all were asked, the wait is twice as long.
_FETCH_TIMEOUT_S = 0.5

#: The same on a low-bandwidth link, where an answer may wait half a second
#: behind bodies.
_LOW_BANDWIDTH_FETCH_TIMEOUT_S = 1.0

#: The same for a daemon without a configuration, which gets a whole one.
_LOW_BANDWIDTH_WHOLE_TIMEOUT_S = 2.0

#: Number of daemons whose unusable versions are remembered.
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
    higher versions don't put it off. Nothing is fetched that no daemon has.
    """

    def __init__(self, *, is_low_bandwidth: bool = False) -> None:
        """Start without announcements."""
        self._due: dict[int, float] = {}
        self._sources: dict[str, Announcement] = {}
        self._asked: set[str] = set()
        self._last_asked = ''
        self._asked_at = -math.inf
        self._rejected: dict[str, int] = {}
        self._is_low_bandwidth = is_low_bandwidth
        self._has_version = False

    @property
    def next_due(self) -> float | None:
        """Return when to call :meth:`take_source`, ``None`` for never."""
        if not (self._due and self._sources):
            return None
        timeout = self._find_timeout()
        if self._asked >= self._sources.keys():
            timeout *= 2
        return max(min(self._due.values()), self._asked_at + timeout)

    def announce(self, announcement: Announcement, now: float) -> bool:
        """Add an announcement; return whether a fetch is due earlier for it.

        It takes the place of an earlier one of the daemon. A version that was
        fetched from it and can't be used isn't fetched from it again.
        """
        version, due = announcement.version, announcement.due
        if version <= self._rejected.get(announcement.daemon, 0):
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
        self._last_asked = source.daemon
        self._asked_at = now
        return source

    def adopt(self, version: int) -> None:
        """Drop what ``version``, which is now active, makes needless."""
        self._has_version = True
        self._asked_at = -math.inf
        self._asked.clear()
        self._due = {
            known: due for known, due in self._due.items() if known > version
        }
        self._sources = {
            name: source
            for name, source in self._sources.items()
            if source.version > version
        }

    def forget(self, daemon: str) -> None:
        """Drop a daemon that can't answer any more.

        A fetch in progress from it is repeated at once. Versions that only it
        had stay due, for when another daemon announces them.
        """
        self._sources.pop(daemon, None)
        if daemon == self._last_asked:
            self._asked_at = -math.inf

    def reject(self, daemon: str, version: int) -> None:
        """Give up a version that a daemon has and that can't be used.

        Other daemons may have another document under the same version. They
        are asked after the wait for an answer.
        """
        self._rejected[daemon] = max(version, self._rejected.get(daemon, 0))
        while len(self._rejected) > _MAX_REJECTED:
            self._rejected.pop(next(iter(self._rejected)))
        source = self._sources.get(daemon)
        if source is not None and source.version <= version:
            self._sources.pop(daemon)
        self._due = _merge(self._due, self._highest, -math.inf)

    def _find_timeout(self) -> float:
        if not self._is_low_bandwidth:
            return _FETCH_TIMEOUT_S
        if self._has_version:
            return _LOW_BANDWIDTH_FETCH_TIMEOUT_S
        return _LOW_BANDWIDTH_WHOLE_TIMEOUT_S

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
