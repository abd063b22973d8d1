"""Estimate of how long a new request waits for a slot."""

from collections.abc import Iterable, Mapping

import attrs

from goldcrestwharf.admission._flow import Queued
from goldcrestwharf.admission._rank_queue import Ahead, RankQueue
from goldcrestwharf.admission._ranks import Rank
from goldcrestwharf.admission._recent_work import RecentWork
from goldcrestwharf.admission._slot_state import SlotState

#: Least fraction of a rate assumed for a request, however much goes first.
_MIN_FRACTION = 0.1


@attrs.frozen(kw_only=True)
class WaitEstimate:
    """Estimate of waits from the queued work and the recent class mix."""

    state: SlotState
    ranks: Mapping[Rank, RankQueue]
    recent_work: RecentWork

    def find_drain_time(self, count: int) -> float:
        """Return the time in which a queue of ``count`` drains, in seconds."""
        queued = sum(rank_queue.cost for rank_queue in self.ranks.values())
        drain = self.state.turnover + self.state.share(queued)
        return max(drain, self.state.rate.find_wait(count))

    def find_wait(self, queued: Queued) -> float:
        """Return the expected wait of a new request, in seconds."""
        ahead = self.ranks[queued.rank].find_ahead(queued)
        above = self._find_cost_above(queued.rank)
        wait: float = 0
        if not self.state.has_free_slot:
            wait = self.state.turnover + self._find_drain(queued, ahead, above)
        if self.state.rate.limit is None:
            return wait
        count = round((above + ahead.cost) / queued.cost)
        return max(wait, self.state.rate.find_wait(count))

    def _find_cost_above(self, rank: Rank) -> float:
        return sum(
            rank_queue.cost
            for other, rank_queue in self.ranks.items()
            if other < rank
        )

    def _find_drain(self, queued: Queued, ahead: Ahead, above: float) -> float:
        """Return the time in which all that goes first gets its slots."""
        slots = self._find_slots_left(queued.rank)
        wait = (above + ahead.cost) / slots
        if self.state.is_overloaded:
            # Requests of other workspaces that arrive later count as well.
            slots *= self._find_flow_fraction(queued.rank, ahead)
            wait = max(wait, ahead.own / slots)
        history = self.recent_work.find_history(queued)
        now = self.state.now()
        if history.is_starved(queued.request.request_class, now):
            return wait
        return _stretch(wait, slots, history.find_gaps(queued, now))

    def _find_flow_fraction(self, rank: Rank, ahead: Ahead) -> float:
        """Return the part of its rank's slot time that a workspace gets."""
        rate = self.recent_work.find_rate(rank, self.state.now())
        return _bound(ahead.rate / rate) if rate else 1

    def _find_slots_left(self, rank: Rank) -> float:
        """Return the slots that higher ranks leave."""
        slots = max(self.state.slots, 1)
        above = self.recent_work.find_rate_above(rank, self.state.now())
        return slots * _bound(1 - above / slots)


def _stretch(
    wait: float, slots: float, gaps: Iterable[tuple[float, float]]
) -> float:
    """Return a wait with the classes that arrive later and start earlier."""
    rates: float = 0
    slot_time: float = 0
    for rate, gap in gaps:
        rates += rate
        slot_time += rate * gap
    left = _bound(1 - rates / slots)
    return min(wait / left, wait + slot_time / slots)


def _bound(fraction: float) -> float:
    return min(max(fraction, _MIN_FRACTION), 1)
