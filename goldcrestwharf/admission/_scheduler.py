"""Give out the slots of one target.

Answers days on which more requests come than slots can serve in time: a
request that can't be answered in time is refused at once, so that those
that are admitted are in time, and urgent and short ones go first.
"""

import heapq
import itertools
from collections.abc import Callable

import attrs

from goldcrestwharf.admission._holds import HoldTimes
from goldcrestwharf.admission._refusal import Refusal, RefusalReason

#: Seconds for which all slots may be taken until the load counts as lasting.
#: Shorter bursts are waited out; a lasting queue makes every answer late, so
#: then only what can be in time is admitted (as in CoDel, RFC 8289).
BURST_S = 0.5

#: Share of the time between objective and deadline that a request may wait
#: during a burst.
_LATE_SHARE = 0.4

#: Share of the time to the objective that the expected answer may take under a
#: lasting load; the rest is for times that spread around their mean.
_SAFE_SHARE = 0.75

#: Share of the mean hold time up to which a kind counts as short.
_SHORT_SHARE = 0.6

#: Share of the mean hold time that has to be left when a slot comes free.
_LEAST_LEFT = 0.5


@attrs.define(kw_only=True, eq=False)
class Ticket:
    """Ask for a slot.

    ``objective_at`` and ``deadline_at`` are monotonic times in seconds. The
    lower ``priority`` is, the sooner the ticket's turn. ``decide`` is called
    once a ticket that waits is granted (``None``) or refused.
    """

    kind: str
    priority: int
    objective_at: float
    deadline_at: float
    decide: Callable[[Refusal | None], None]
    is_waiting: bool = False


#: Orders the queue: short ones first, then urgent ones, then by objective.
_Rank = tuple[bool, int]
_Entry = tuple[_Rank, float, int, Ticket]


class SlotScheduler:
    """Admit requests to the slots of one target.

    Only the daemon beside the target holds it, so its counts are exact.
    """

    def __init__(self, *, slots: int, clock: Callable[[], float]) -> None:
        """Run ``slots`` requests at once."""
        self.slots = slots
        self.in_use = 0
        self.holds = HoldTimes()
        self._clock = clock
        self._had_room_at = clock()
        self._order = itertools.count()
        self._queue: list[_Entry] = []
        self._waiting = 0

    @property
    def busy(self) -> int:
        """Return the requests in slots and in the queue."""
        return self.in_use + self._waiting

    def enter(self, ticket: Ticket) -> Refusal | None:
        """Take a slot or a place in the queue, or refuse at once.

        After ``None``, ``ticket.is_waiting`` tells which of the two.
        """
        if self.in_use < self.slots:
            self._had_room_at = self._clock()
            self.in_use += 1
            return None
        rank = _find_rank(ticket, self.holds)
        ahead = _sum_ahead(self._queue, rank, self.holds)
        wait = (ahead + self.holds.mean) / max(self.slots, 1)
        usual = self.holds.mean_of(ticket.kind)
        if self._clock() + wait + usual > self._find_latest(ticket, rank):
            return Refusal(reason=RefusalReason.OVERLOADED, retry_after=wait)
        ticket.is_waiting = True
        self._waiting += 1
        entry = (rank, ticket.objective_at, next(self._order), ticket)
        heapq.heappush(self._queue, entry)
        return None

    def withdraw(self, ticket: Ticket) -> None:
        """Give up a place in the queue."""
        if ticket.is_waiting:
            ticket.is_waiting = False
            self._waiting -= 1

    def leave(self, kind: str, held: float | None) -> None:
        """Give back a slot that was held for ``held`` seconds.

        ``None`` says nothing of the hold time, as after a broken run.
        """
        if held is not None:
            self.holds.note(kind, held)
        self.in_use -= 1
        self._grant()

    def refuse_all(self, refusal: Refusal) -> None:
        """Refuse all that wait."""
        while self._queue:
            ticket = self._queue.pop()[-1]
            if ticket.is_waiting:
                self.withdraw(ticket)
                ticket.decide(refusal)

    def resize(self, slots: int) -> None:
        """Change the number of slots; none in use is taken away."""
        self.slots = slots
        self._grant()

    def _find_latest(self, ticket: Ticket, rank: _Rank) -> float:
        """Return when a request has to be answered to be worth a wait."""
        if not rank[0]:
            return ticket.deadline_at
        now = self._clock()
        if now - self._had_room_at > BURST_S:
            return now + (ticket.objective_at - now) * _SAFE_SHARE
        late = max(ticket.deadline_at - ticket.objective_at, 0)
        return ticket.objective_at + late * _LATE_SHARE

    def _grant(self) -> None:
        while self._queue and self.in_use < self.slots:
            ticket = heapq.heappop(self._queue)[-1]
            if ticket.is_waiting:
                self.withdraw(ticket)
                self._settle(ticket)
        if self.in_use < self.slots:
            self._had_room_at = self._clock()

    def _settle(self, ticket: Ticket) -> None:
        needed = self.holds.mean_of(ticket.kind) * _LEAST_LEFT
        if self._clock() + needed > ticket.deadline_at:
            ticket.decide(Refusal(reason=RefusalReason.TOO_LATE))
            return
        self.in_use += 1
        ticket.decide(None)


def _find_rank(ticket: Ticket, holds: HoldTimes) -> _Rank:
    """Put short requests first, whatever their priority.

    They take little of the slots, and the longer requests that make such
    calls hold slots elsewhere until they are answered.
    """
    usual = holds.mean_of(ticket.kind)
    return (usual >= holds.mean * _SHORT_SHARE, ticket.priority)


def _sum_ahead(queue: list[_Entry], rank: _Rank, holds: HoldTimes) -> float:
    """Return the seconds of slots that those before a new one will take."""
    return sum(
        holds.mean_of(entry[-1].kind)
        for entry in queue
        if entry[0] <= rank and entry[-1].is_waiting
    )
