"""Limit the appends per second."""

import attrs

from goldcrestwharf.log._failures import refused_as_busy

#: Permits that were not used pile up for this long, in seconds.
_BURST = 1.0


@attrs.define(kw_only=True)
class AppendRate:
    """Grant appends up to ``limit`` per second, bursts of a second."""

    limit: int | None
    _full_at: float = attrs.field(default=float('-inf'), init=False)

    def spend(self, now: float) -> None:
        """Take one permit; raise :class:`PlatformBusyError` without one."""
        if self.limit is None:
            return
        full_at = max(self._full_at, now) + 1 / self.limit
        excess = full_at - now - _BURST
        if excess > 0:
            raise refused_as_busy(excess)
        self._full_at = full_at
