"""Share of a limit that one account may grant."""

import attrs

from goldcrestwharf.quotas._account import Limit

#: Most that is added to the fraction of the daemons that are reached, so that
#: the loss of a few daemons doesn't lower a limit.
_MAX_INCREASE = 0.1

#: Most that is added relative to the fraction itself. The shares of all sides
#: of a partition, however many, add up to at most this much over the limit.
_MAX_RELATIVE_INCREASE = 0.15

#: Fraction of the increase that remains where ``burst`` allows for none.
_MIN_INCREASE_FRACTION = 0.2


@attrs.frozen(kw_only=True)
class Reach:
    """Number of daemons reached, and known, each with the local one."""

    reached: int
    known: int

    @property
    def fraction(self) -> float:
        """Return the fraction of the known daemons that are reached."""
        return min(self.reached / max(self.known, 1), 1)


def find_share(fraction: float, limit: Limit) -> float:
    """Return the share of a limit for a fraction of the known daemons.

    The increase grows with the burst up to one second of the rate, since the
    bound in any window has that much more room.
    """
    burst_s = limit.burst / limit.rate if limit.rate else 0
    scale = min(max(burst_s, _MIN_INCREASE_FRACTION), 1)
    increase = min(_MAX_INCREASE, _MAX_RELATIVE_INCREASE * fraction)
    return min(fraction + increase * scale, 1)
