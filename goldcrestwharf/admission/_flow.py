"""Waiting requests of one workspace in one rank."""

import bisect
import math
import operator
from collections.abc import Iterable

import attrs

from goldcrestwharf.admission._ranks import Rank
from goldcrestwharf.admission._slot_request import SlotRequest


@attrs.frozen(kw_only=True, eq=False)
class Queued:
    """Waiting request.

    ``cost`` is the expected slot time of its class when it was queued, in
    seconds, and ``objective`` the time that was left to its objective then.
    Requests of one workspace are ordered by ``place``: the time of their
    objective, so that all of them move forward as they age, then by number.
    """

    request: SlotRequest
    rank: Rank
    cost: float
    objective: float
    place: tuple[float, int]

    def move_forward(self, seconds: float) -> 'Queued':
        """Return the request with a place that much earlier."""
        wanted_at, number = self.place
        return attrs.evolve(self, place=(wanted_at - seconds, number))


_get_place = operator.attrgetter('place')


def _add_costs(entries: Iterable[Queued]) -> float:
    return math.fsum(queued.cost for queued in entries)


class Flow:
    """Waiting requests of one workspace.

    ``start`` is the start tag of its next request (start-time fair queueing,
    Goyal et al. 1996), in seconds of slot time per unit of weight.
    """

    def __init__(self, *, weight: float, start: float) -> None:
        """Create an empty flow."""
        self.weight = weight
        self.start = start
        self.cost: float = 0
        self.entries: list[Queued] = []

    def add(self, queued: Queued) -> None:
        """Insert a request at its place."""
        bisect.insort(self.entries, queued, key=_get_place)
        self.cost += queued.cost

    def remove(self, queued: Queued) -> None:
        """Remove a request."""
        position = self._find_position(queued)
        self.entries.pop(position)
        self.cost -= queued.cost

    def cost_before(self, queued: Queued) -> float:
        """Return the slot time of the requests before a place, in seconds.

        The shorter side of the place is added up; most requests belong at
        one of the ends.
        """
        position = self._find_position(queued)
        if position * 2 < len(self.entries):
            return _add_costs(self.entries[:position])
        return self.cost - _add_costs(self.entries[position:])

    def _find_position(self, queued: Queued) -> int:
        return bisect.bisect_left(self.entries, queued.place, key=_get_place)
