"""Bound how often requests are sent to targets again.

Answers retry storms: when targets fail or refuse, all daemons together may
add only a share to the load of first tries.
"""

import math
from collections import deque

import attrs

#: Share of the common budget that daemons spend themselves. The rest is left
#: for the calls that targets make anew while they run a repeat.
_OWN_SHARE = 0.5


@attrs.frozen(kw_only=True)
class BudgetTerms:
    """Hold what all daemons together may repeat for one service.

    In each ``window`` (seconds), ``ratio`` times the first tries and
    ``slack`` repeats more.
    """

    ratio: float
    slack: float
    window: float


class RepeatBudget:
    """Hold this daemon's share of the budget of one service.

    The share in the slack is one part in ``members``; the share by ratio
    follows from the own first tries. So the sum over all daemons keeps the
    terms, whoever can reach whom.
    """

    def __init__(self, *, terms: BudgetTerms) -> None:
        """Start with nothing spent."""
        self._terms = terms
        self._firsts: dict[int, int] = {}
        self._repeats: deque[float] = deque()

    def note_first(self, now: float) -> None:
        """Count a first try."""
        second = math.floor(now)
        if second not in self._firsts:
            self._drop_old_seconds(now)
        self._firsts[second] = self._firsts.get(second, 0) + 1

    def has_room(self, *, members: int, now: float) -> bool:
        """Tell whether one repeat more keeps the terms."""
        earliest = now - self._terms.window
        while self._repeats and self._repeats[0] <= earliest:
            self._repeats.popleft()
        return len(self._repeats) + 1 <= self._allowance(members, now)

    def spend(self, now: float) -> None:
        """Count a repeat."""
        self._repeats.append(now)

    def _allowance(self, members: int, now: float) -> float:
        earliest = now - self._terms.window
        firsts = sum(
            count for second, count in self._firsts.items() if second > earliest
        )
        slack = self._terms.slack / max(members, 1)
        return (self._terms.ratio * firsts + slack) * _OWN_SHARE

    def _drop_old_seconds(self, now: float) -> None:
        earliest = now - self._terms.window
        self._firsts = {
            second: count
            for second, count in self._firsts.items()
            if second > earliest
        }
