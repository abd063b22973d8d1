"""Fair queue of the requests of one rank."""

from collections.abc import Callable, Iterator

import attrs

from goldcrestwharf.admission._finish_tags import FinishTags
from goldcrestwharf.admission._flow import Flow, Queued
from goldcrestwharf.admission._turns import Turns, walk

#: Least weight of a workspace; a rate of zero would never get a turn.
_MIN_WEIGHT = 0.001


@attrs.frozen(kw_only=True)
class Ahead:
    """What goes before a new request.

    ``cost`` is the slot time of the waiting requests before it, and ``own``
    the slot time that its workspace is charged before its turn, in seconds.
    ``rate`` is what the workspace gets of it in a second, as long as all slots
    are occupied.
    """

    cost: float
    own: float
    rate: float


class RankQueue:
    """Start-time fair queueing of slot time by workspace.

    ``cost`` is the expected slot time of all waiting requests, in seconds.
    """

    def __init__(
        self,
        *,
        find_weight: Callable[[str], float],
        now: Callable[[], float],
    ) -> None:
        """Weigh workspaces by ``find_weight``.

        ``now`` returns monotonic seconds.
        """
        self.cost: float = 0
        self._weight: float = 0
        self._find_weight = find_weight
        self._tags = FinishTags(now=now)
        self._turns = Turns()
        self._flows: dict[str, Flow] = {}

    def add(self, queued: Queued) -> None:
        """Queue a request."""
        workspace = queued.request.workspace
        flow = self._flows.get(workspace)
        if flow is None:
            flow = self._make_flow(queued)
            self._flows[workspace] = flow
            self._weight += flow.weight
            self._turns.push(flow)
        flow.add(queued)
        self.cost += queued.cost

    def remove(self, queued: Queued) -> None:
        """Remove a request."""
        workspace = queued.request.workspace
        flow = self._flows[workspace]
        flow.remove(queued)
        self.cost -= queued.cost
        if not flow.entries:
            self._tags.store(workspace, flow.start)
            self._flows.pop(workspace)
            self._weight -= flow.weight
        if not self._flows:
            # No rounding errors add up.
            self.cost = 0
            self._weight = 0

    def take(self, queued: Queued) -> None:
        """Remove a request that gets a slot, and charge its workspace."""
        flow = self._flows[queued.request.workspace]
        self._tags.advance(flow.start)
        flow.start += queued.cost / flow.weight
        self._turns.push(flow)
        self.remove(queued)

    def charge(self, queued: Queued) -> None:
        """Charge a workspace for a request that did not wait."""
        flow = self._make_flow(queued)
        self._tags.advance(flow.start)
        finish = flow.start + queued.cost / flow.weight
        self._tags.store(queued.request.workspace, finish)

    def peek(self) -> Queued | None:
        """Return the next request."""
        return self._turns.peek()

    def walk(self) -> Iterator[Queued]:
        """Yield the requests in the order of their turns."""
        return walk(tuple(self._flows.values()))

    def find_ahead(self, queued: Queued) -> Ahead:
        """Return what goes before a new request.

        While the requests of its own workspace before it are served, each
        other workspace gets its share, as far as it has requests waiting.
        """
        flow = self._flows.get(queued.request.workspace)
        if flow is None:
            flow = self._make_flow(queued)
        before = flow.cost_before(queued)
        own = before + self._tags.find_debt(flow)
        return Ahead(
            cost=before + self._find_cost_of_others(flow, own),
            own=own,
            rate=self._tags.speed * flow.weight,
        )

    def _find_cost_of_others(self, flow: Flow, own: float) -> float:
        """Return what the others get while a flow is charged ``own``."""
        others = max(self.cost - flow.cost, 0)
        weight = self._weight
        if flow.entries:
            weight -= flow.weight
        return min(others, own * max(weight, 0) / flow.weight)

    def _make_flow(self, queued: Queued) -> Flow:
        """Return an empty flow for a request that is alone in it."""
        workspace = queued.request.workspace
        weight = max(self._find_weight(workspace), _MIN_WEIGHT)
        credit = queued.cost / weight
        return Flow(
            weight=weight, start=self._tags.find_start(workspace, credit)
        )
