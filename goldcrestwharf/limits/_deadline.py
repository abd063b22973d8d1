"""Deadline of a request across all hops."""

import re

from goldcrestwharf.timers import Timers

_MS_PER_S = 1000
_WHOLE_MS = re.compile('[0-9]{1,12}')


class Deadline:
    """Time limit in seconds of one request, shared by all its hops."""

    def __init__(self, *, timers: Timers, seconds: float) -> None:
        """Expire ``seconds`` from now."""
        self._timers = timers
        self._ends_at = timers.now() + max(seconds, 0)

    @classmethod
    def parse(
        cls,
        header: str | None,
        *,
        timers: Timers,
        limit: float,
    ) -> 'Deadline':
        """Parse a header that holds the remaining milliseconds.

        A header can shorten ``limit`` (in seconds) but never extend it. If
        it is missing or isn't a whole number, ``limit`` applies.
        """
        if header is None or not _WHOLE_MS.fullmatch(header.strip()):
            return cls(timers=timers, seconds=limit)
        requested = int(header) / _MS_PER_S
        return cls(timers=timers, seconds=min(requested, limit))

    @property
    def is_expired(self) -> bool:
        """Return whether no time is left."""
        return self.remaining() <= 0

    def remaining(self) -> float:
        """Return the seconds left, zero if there are none."""
        return max(self._ends_at - self._timers.now(), 0)

    def to_header(self) -> str:
        """Return the remaining whole milliseconds, for the next hop."""
        return str(int(self.remaining() * _MS_PER_S))
