"""Whether a target is given as many requests as its limit allows."""

#: Weight of a sample in the share of requests that ended with all slots in
#: use, and the share from which there is demand for more.
_DEMAND_WEIGHT = 0.1
_DEMAND_SHARE = 0.5

#: Seconds without demand after which a learned limit is outdated.
_MAX_AGE_S = 30.0


class Demand:
    """Share of the requests that ended while all slots were in use."""

    def __init__(self, *, now: float) -> None:
        """Start without demand; ``now`` is a monotonic time in seconds."""
        self._full_share: float = 0
        self._full_at = now

    @property
    def is_high(self) -> bool:
        """Return whether more requests would run if the limit were higher."""
        return self._full_share >= _DEMAND_SHARE

    def record(self, *, is_full: bool, now: float) -> None:
        """Record whether a request ended with all slots in use."""
        self._full_share += (is_full - self._full_share) * _DEMAND_WEIGHT
        if is_full:
            self._full_at = now

    def is_outdated(self, now: float) -> bool:
        """Return whether the limit has not been reached for long."""
        return now - self._full_at > _MAX_AGE_S
