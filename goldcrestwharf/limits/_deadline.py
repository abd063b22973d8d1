"""Keep the time that a request has left."""

import re

from goldcrestwharf.timers import Timers

_MS_PER_SECOND = 1000
_WHOLE_MS = re.compile('[0-9]{1,12}')


class Deadline:
    """Count down the seconds allowed for one request, all hops together."""

    def __init__(self, *, timers: Timers, seconds: float) -> None:
        """Start counting down from ``seconds``."""
        self._timers = timers
        self._ends_at = timers.now() + max(seconds, 0)

    @classmethod
    def parse(
        cls,
        written: str | None,
        *,
        timers: Timers,
        limit: float,
    ) -> 'Deadline':
        """Return the deadline that a header with remaining ms asks for.

        A header can shorten the ``limit`` (seconds) and never exceed it.
        One that is missing or isn't a whole number counts as the limit.
        """
        if written is None or not _WHOLE_MS.fullmatch(written.strip()):
            return cls(timers=timers, seconds=limit)
        asked = int(written) / _MS_PER_SECOND
        return cls(timers=timers, seconds=min(asked, limit))

    @property
    def is_spent(self) -> bool:
        """Tell whether no time is left."""
        return self.remaining() <= 0

    def remaining(self) -> float:
        """Return the seconds left, zero if there are none."""
        return max(self._ends_at - self._timers.now(), 0)

    def to_header(self) -> str:
        """Return the remaining whole ms for the next hop."""
        return str(int(self.remaining() * _MS_PER_SECOND))
