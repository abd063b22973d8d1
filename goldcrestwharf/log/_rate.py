"""Rate limit of appends."""

import attrs

from goldcrestwharf.log._failures import busy_error

#: Unused permits accumulate for at most this long.
_BURST_S = 1.0


@attrs.define(kw_only=True)
class AppendRate:
    """Rate limiter of ``limit`` appends per second, with bursts of a second."""

    limit: int | None
    _full_at: float = attrs.field(default=float('-inf'), init=False)

    def acquire(self, now: float) -> None:
        """Take one permit; raise :class:`PlatformBusyError` if none is free."""
        if self.limit is None:
            return
        full_at = max(self._full_at, now) + 1 / self.limit
        excess = full_at - now - _BURST_S
        if excess > 0:
            raise busy_error(excess)
        self._full_at = full_at
