"""Waiting requests of all ranks."""

import itertools
from collections.abc import Callable, Iterator

from goldcrestwharf.admission._flow import Queued
from goldcrestwharf.admission._rank_queue import RankQueue
from goldcrestwharf.admission._ranks import Rank, find_rank
from goldcrestwharf.admission._slot_request import SlotRequest
from goldcrestwharf.admission._slot_state import SlotState


class RankedRequests:
    """Waiting requests, by rank and then by fair shares of workspaces."""

    def __init__(
        self, *, state: SlotState, find_weight: Callable[[str], float]
    ) -> None:
        """Weigh workspaces by ``find_weight``."""
        self.ranks: dict[Rank, RankQueue] = {}
        self._state = state
        self._find_weight = find_weight
        self._sequence = itertools.count()
        self._waiting: dict[SlotRequest, Queued] = {}

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting)

    def describe(self, request: SlotRequest) -> Queued:
        """Return a request with its rank, cost and place."""
        times = self._state.service_times
        queued = Queued(
            request=request,
            rank=find_rank(request, times),
            cost=times.mean_of(request.request_class),
            objective=request.objective_at - self._state.now(),
            place=(request.objective_at, next(self._sequence)),
        )
        if queued.rank not in self.ranks:
            rank_queue = RankQueue(
                find_weight=self._find_weight, now=self._state.now
            )
            self.ranks[queued.rank] = rank_queue
        return queued

    def add(self, queued: Queued) -> None:
        """Queue a request."""
        queued.request.is_waiting = True
        self._waiting[queued.request] = queued
        self.ranks[queued.rank].add(queued)

    def remove(self, request: SlotRequest) -> None:
        """Remove a request that gets no slot, if it waits."""
        queued = self._waiting.pop(request, None)
        if queued is not None:
            request.is_waiting = False
            self.ranks[queued.rank].remove(queued)

    def take(self, request: SlotRequest) -> Queued:
        """Remove and return a request that gets a slot."""
        queued = self._waiting.pop(request)
        request.is_waiting = False
        self.ranks[queued.rank].take(queued)
        return queued

    def peek(self) -> Queued | None:
        """Return the next request."""
        for rank in sorted(self.ranks):
            queued = self.ranks[rank].peek()
            if queued is not None:
                return queued
        return None

    def walk(self) -> Iterator[Queued]:
        """Yield the requests in the order of their turns."""
        for rank in sorted(self.ranks):
            yield from self.ranks[rank].walk()
