"""Comparison of directories by digest between daemons.

If each hello carried the list of all daemons, the traffic when a whole mesh
starts would grow with the cube of their number (n * n hellos of n entries),
which is too much for low-bandwidth links. Daemons compare short digests
instead, and query one daemon whose digest still differs after a delay.
"""

import random

import attrs

from goldcrestwharf.discovery._directory import Directory

#: Bounds of the random delay, in seconds, until a difference leads to a query.
#: Most differences disappear before that, as the daemons learn of each other
#: from the store and from hellos.
_MIN_QUERY_DELAY_S = 0.2
_MAX_QUERY_DELAY_S = 1.0

#: Interval between two queries of this daemon, in seconds. A list of 80 daemons
#: takes 4 KB; the links with the lowest bandwidth carry 600 KB in that time.
_QUERY_INTERVAL_S = 1.0


@attrs.frozen(kw_only=True)
class _Difference:
    digest: bytes
    due_at: float


class DirectoryComparison:
    """Daemons whose directory differs from the local one."""

    def __init__(self, *, directory: Directory, rng: random.Random) -> None:
        """Compare with ``directory``; draw delays from ``rng``."""
        self._directory = directory
        self._rng = rng
        self._differences: dict[str, _Difference] = {}
        self._next_query_at: float = 0

    def record_digest(self, daemon: str, digest: bytes, now: float) -> None:
        """Record the digest of the directory of ``daemon``."""
        if digest == self._directory.digest:
            self._differences.pop(daemon, None)
            return
        known = self._differences.get(daemon)
        wait = self._rng.uniform(_MIN_QUERY_DELAY_S, _MAX_QUERY_DELAY_S)
        self._differences[daemon] = _Difference(
            digest=digest,
            due_at=known.due_at if known else now + wait,
        )

    def take_daemon_to_query(self, now: float) -> str | None:
        """Return the daemon to query now, if any; local zone first.

        Its difference is removed, and the interval until the next query
        begins.
        """
        if now < self._next_query_at or not self._differences:
            return None
        self._discard_resolved()
        due = [
            daemon
            for daemon, difference in self._differences.items()
            if difference.due_at <= now
        ]
        if not due:
            return None
        chosen = min(due, key=self._is_remote_zone)
        self._differences.pop(chosen)
        self._next_query_at = now + _QUERY_INTERVAL_S
        return chosen

    def _discard_resolved(self) -> None:
        local = self._directory.digest
        self._differences = {
            daemon: difference
            for daemon, difference in self._differences.items()
            if difference.digest != local
        }

    def _is_remote_zone(self, daemon: str) -> bool:
        return self._directory.find_zone(daemon) != self._directory.local.zone
