"""Queue by urgency, for targets whose requests are alike."""

import heapq
import itertools

from goldcrestwharf.admission._ranks import Rank, find_rank, is_short
from goldcrestwharf.admission._refusal import Refusal, RefusalReason
from goldcrestwharf.admission._slot_request import SlotRequest
from goldcrestwharf.admission._slot_state import SlotState

#: Fraction of the time between objective and deadline that the expected answer
#: may use up during a burst.
_BURST_LATENESS_FRACTION = 0.4

#: Fraction of the time to the objective that the expected answer may take under
#: overload; the rest allows for service times above their mean.
_OVERLOAD_OBJECTIVE_FRACTION = 0.75

#: Fraction of its mean service time that a queued request must have left to its
#: deadline when it gets a slot.
_MIN_REMAINING_FRACTION = 0.5

#: Requests of the same rank are ordered by their objective.
_QueueEntry = tuple[Rank, float, int, SlotRequest]


class UrgencyQueue:
    """Queue ordered by rank and objective.

    ``retry_after`` is in seconds; the caller's daemon chooses a time itself.
    """

    retry_after: float = 0

    def __init__(self, *, state: SlotState) -> None:
        """Create an empty queue for the slots of ``state``."""
        self._state = state
        self._sequence = itertools.count()
        self._entries: list[_QueueEntry] = []
        self._waiting = 0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return self._waiting

    def may_start(self, _: SlotRequest) -> bool:
        """Return whether a request may take a free slot at once."""
        return True

    def admit(self, request: SlotRequest) -> Refusal | None:
        """Queue a request, or return a refusal if it can't be in time."""
        service_times = self._state.service_times
        rank = find_rank(request, service_times)
        wait = self._find_wait(rank)
        expected = service_times.mean_of(request.request_class)
        expected_end = self._state.now() + wait + expected
        if expected_end > _find_latest(request, rank, self._state):
            return Refusal(reason=RefusalReason.OVERLOADED, retry_after=wait)
        self.add(request)
        return None

    def add(self, request: SlotRequest) -> None:
        """Queue a request that was admitted by other rules."""
        request.is_waiting = True
        request.expires_at = request.deadline_at
        self._waiting += 1
        rank = find_rank(request, self._state.service_times)
        entry = (rank, request.objective_at, next(self._sequence), request)
        heapq.heappush(self._entries, entry)

    def remove(self, request: SlotRequest) -> None:
        """Remove a request if it waits."""
        if request.is_waiting:
            request.is_waiting = False
            self._waiting -= 1

    def select(self) -> SlotRequest | None:
        """Return the next request; refuse those that are too late for it."""
        while self._entries:
            request = self._entries[0][-1]
            if request.is_waiting and not _is_late(request, self._state):
                return request
            heapq.heappop(self._entries)
            if request.is_waiting:
                self.remove(request)
                request.decide(Refusal(reason=RefusalReason.TOO_LATE))
        return None

    def start(self, request: SlotRequest) -> None:
        """Remove a request that gets a slot."""
        self.remove(request)

    def empty(self) -> list[SlotRequest]:
        """Remove and return all waiting requests."""
        waiting = [
            entry[-1]
            for entry in reversed(self._entries)
            if entry[-1].is_waiting
        ]
        self._entries.clear()
        for request in waiting:
            self.remove(request)
        return waiting

    def _find_wait(self, rank: Rank) -> float:
        """Return the expected wait of a new request, in seconds."""
        state = self._state
        ahead = [
            state.service_times.mean_of(entry[-1].request_class)
            for entry in self._entries
            if entry[0] <= rank and entry[-1].is_waiting
        ]
        wait = state.rate.find_wait(len(ahead))
        if state.has_free_slot:
            return wait
        slot_time = sum(ahead) + state.service_times.mean
        return max(wait, slot_time / max(state.slots, 1))


def _is_late(request: SlotRequest, state: SlotState) -> bool:
    expected = state.service_times.mean_of(request.request_class)
    min_remaining = expected * _MIN_REMAINING_FRACTION
    return state.now() + min_remaining > request.deadline_at


def _find_latest(request: SlotRequest, rank: Rank, state: SlotState) -> float:
    """Return the latest expected answer at which to queue a request."""
    if is_short(rank):
        return request.deadline_at
    if state.is_overloaded:
        now = state.now()
        return now + (
            (request.objective_at - now) * _OVERLOAD_OBJECTIVE_FRACTION
        )
    late = max(request.deadline_at - request.objective_at, 0)
    return request.objective_at + late * _BURST_LATENESS_FRACTION
