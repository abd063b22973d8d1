"""Decide when to ask another daemon for the daemons that it knows.

Answers the start of a whole mesh on narrow links: a list of all daemons with
each introduction grows with the cube of their number, so daemons compare
short digests, and only one that still differs after a while is asked.
"""

import random

import attrs

from goldcrestwharf.discovery._directory import Directory

#: Bounds, in seconds, of the wait until a difference counts: the store and
#: the introductions of others remove most of them by themselves.
_LEAST_WAIT_S = 0.2
_MOST_WAIT_S = 1.0

#: Seconds between two questions of one daemon; a list of 80 daemons takes
#: 4 KB, of the 600 KB that the narrowest links carry in that time.
_PERIOD_S = 1.0


@attrs.frozen(kw_only=True)
class _Difference:
    digest: bytes
    counts_from: float


class DirectoryComparison:
    """Hold which daemons know others than the own directory does."""

    def __init__(self, *, directory: Directory, rng: random.Random) -> None:
        """Compare with ``directory``; draw waits from ``rng``."""
        self._directory = directory
        self._rng = rng
        self._differences: dict[str, _Difference] = {}
        self._asks_from: float = 0

    def note_digest(self, daemon: str, digest: bytes, now: float) -> None:
        """Take in the digest of the daemons that ``daemon`` knows."""
        if digest == self._directory.digest:
            self._differences.pop(daemon, None)
            return
        known = self._differences.get(daemon)
        wait = self._rng.uniform(_LEAST_WAIT_S, _MOST_WAIT_S)
        self._differences[daemon] = _Difference(
            digest=digest,
            counts_from=known.counts_from if known else now + wait,
        )

    def find_daemon_to_ask(self, now: float) -> str | None:
        """Return whom to ask now, of the own zone if possible."""
        if now < self._asks_from or not self._differences:
            return None
        self._drop_settled()
        due = [
            daemon
            for daemon, difference in self._differences.items()
            if difference.counts_from <= now
        ]
        if not due:
            return None
        chosen = min(due, key=self._is_far)
        self._differences.pop(chosen)
        self._asks_from = now + _PERIOD_S
        return chosen

    def _drop_settled(self) -> None:
        own = self._directory.digest
        self._differences = {
            daemon: difference
            for daemon, difference in self._differences.items()
            if difference.digest != own
        }

    def _is_far(self, daemon: str) -> bool:
        return self._directory.find_zone(daemon) != self._directory.own.zone
