"""Queue with fair shares of workspaces, for mixed requests under load."""

import itertools
from collections.abc import Callable

from goldcrestwharf.admission._fair_admission import FairAdmission
from goldcrestwharf.admission._latest_start import find_last_chance
from goldcrestwharf.admission._ranked_requests import RankedRequests
from goldcrestwharf.admission._recent_work import RecentWork
from goldcrestwharf.admission._refusal import Refusal, RefusalReason
from goldcrestwharf.admission._slack import SlackBound
from goldcrestwharf.admission._slot_choice import choose, is_likely
from goldcrestwharf.admission._slot_request import SlotRequest
from goldcrestwharf.admission._slot_state import SlotState
from goldcrestwharf.admission._wait_estimate import WaitEstimate

#: Requests at the front among which one is sought that is likely to end in
#: time.
_MAX_LOOKAHEAD = 4


class FairQueue:
    """Queue ordered by rank, then by fair shares of workspaces.

    Requests of one workspace are ordered by objective.
    """

    def __init__(
        self, *, state: SlotState, find_weight: Callable[[str], float]
    ) -> None:
        """Create an empty queue for the slots of ``state``."""
        self._state = state
        self._requests = RankedRequests(state=state, find_weight=find_weight)
        self._recent_work = RecentWork()
        self._admission = FairAdmission(
            state=state,
            requests=self._requests,
            waits=WaitEstimate(
                state=state,
                ranks=self._requests.ranks,
                recent_work=self._recent_work,
            ),
            slack=SlackBound(state=state),
        )

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._requests)

    @property
    def retry_after(self) -> float:
        """Return the seconds in which the queue drains."""
        return self._admission.waits.find_drain_time(len(self))

    def may_start(self, request: SlotRequest) -> bool:
        """Return whether a request may take a free slot at once."""
        return self._state.now() <= find_last_chance(request, self._state)

    def admit(self, request: SlotRequest) -> Refusal | None:
        """Queue a request, or return a refusal if it can't be in time."""
        return self._admission.admit(request)

    def add(self, request: SlotRequest) -> None:
        """Queue a request that was admitted by other rules."""
        self._admission.add(request)

    def remove(self, request: SlotRequest) -> None:
        """Remove a request if it waits."""
        self._requests.remove(request)

    def start(self, request: SlotRequest) -> None:
        """Charge the workspace of a request that gets a slot."""
        if request.is_waiting:
            queued = self._requests.take(request)
            self._admission.slack.record_taken(queued.cost)
        else:
            queued = self._requests.describe(request)
            rank_queue = self._requests.ranks[queued.rank]
            rank_queue.charge(queued)
            self._recent_work.record_arrival(queued, self._state.now())
        self._recent_work.record_start(queued, self._state.now())

    def select(self) -> SlotRequest | None:
        """Return the next request; refuse those that are too late for it.

        A request gets a slot only if it is likely to end in time, as long as
        another one at the front of the queue is.
        """
        queued = self._requests.peek()
        while queued is not None and not is_likely(queued, self._state):
            walk = self._requests.walk()
            front = tuple(itertools.islice(walk, _MAX_LOOKAHEAD))
            queued = choose(front, self._state)
            late = front if queued is None else front[: front.index(queued)]
            for one in late:
                self._admission.refuse(one, RefusalReason.TOO_LATE)
            if queued is not None:
                break
            queued = self._requests.peek()
        return None if queued is None else queued.request

    def empty(self) -> list[SlotRequest]:
        """Remove and return all waiting requests."""
        waiting = [queued.request for queued in self._requests.walk()]
        for request in waiting:
            self._requests.remove(request)
        return waiting
