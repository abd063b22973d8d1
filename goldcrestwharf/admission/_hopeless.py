"""Search for queued requests that can't be answered in time."""

import heapq
import math
from collections.abc import Iterable

import attrs

from goldcrestwharf.admission._flow import Queued
from goldcrestwharf.admission._ranks import Rank
from goldcrestwharf.admission._slot_state import SlotState

#: Requests of one rank and workspace.
_FlowKey = tuple[Rank, str]
_ByCost = list[tuple[float, int, Queued]]


@attrs.define(eq=False)
class HopelessSearch:
    """Walk through a queue that refuses as few requests as possible.

    Where a request would start too late, the one with the longest expected
    slot time goes among those before it in its workspace, if it is longer and
    less urgent and its slot time is enough; otherwise the late request itself
    (Moore and Hodgson 1968). Requests of other workspaces before it are within
    their shares. ``least_slack`` is that of the others, in seconds.
    """

    state: SlotState
    least_slack: float = math.inf
    hopeless: list[Queued] = attrs.field(factory=list)
    _ahead: float = 0
    _by_cost: dict[_FlowKey, _ByCost] = attrs.field(factory=dict)

    def run(self, waiting: Iterable[Queued]) -> None:
        """Search the requests, which come in the order of their turns."""
        for queued in waiting:
            slack = self._find_slack(queued)
            if slack < 0:
                self._refuse(queued, slack)
            else:
                self._keep(queued, slack)

    def _find_slack(self, queued: Queued) -> float:
        wait = self.state.turnover + self.state.share(self._ahead)
        left = queued.request.deadline_at - self.state.now()
        mean = self.state.service_times.mean_of(queued.request.request_class)
        return left - wait - mean

    def _keep(self, queued: Queued, slack: float) -> None:
        self._ahead += queued.cost
        self.least_slack = min(self.least_slack, slack)
        entry = (-queued.cost, queued.place[-1], queued)
        heapq.heappush(self._find_flow(queued), entry)

    def _refuse(self, late: Queued, slack: float) -> None:
        flow = self._find_flow(late)
        longest = flow[0][-1] if flow else late
        won = self.state.share(longest.cost)
        if _is_preferred(longest, late) and won + slack >= 0:
            heapq.heappop(flow)
            self._ahead -= longest.cost
            self.hopeless.append(longest)
            self._keep(late, won + slack)
        else:
            self.hopeless.append(late)

    def _find_flow(self, queued: Queued) -> _ByCost:
        key = (queued.rank, queued.request.workspace)
        return self._by_cost.setdefault(key, [])


def _is_preferred(longest: Queued, late: Queued) -> bool:
    """Return whether it is better to refuse a longer request."""
    return longest.cost > late.cost and longest.objective > late.objective
