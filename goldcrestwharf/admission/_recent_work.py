"""Recent slot time of ranks and workspaces."""

from goldcrestwharf.admission._decayed_rates import MIX_DECAY_S, DecayedRates
from goldcrestwharf.admission._flow import Queued
from goldcrestwharf.admission._flow_history import FlowHistory
from goldcrestwharf.admission._ranks import Rank

#: Workspaces and ranks whose histories are kept; beyond them all start anew.
_MAX_HISTORIES = 512


class RecentWork:
    """Recent rates of slot time, in seconds per second."""

    def __init__(self) -> None:
        """Start without any requests."""
        self._by_rank: DecayedRates[Rank] = DecayedRates(decay_s=MIX_DECAY_S)
        self._histories: dict[tuple[Rank, str], FlowHistory] = {}

    def find_history(self, queued: Queued) -> FlowHistory:
        """Return what the rank and workspace of a request got recently."""
        key = (queued.rank, queued.request.workspace)
        history = self._histories.get(key)
        if history is None or history.is_full:
            if len(self._histories) >= _MAX_HISTORIES:
                self._histories.clear()
            history = FlowHistory()
            self._histories[key] = history
        return history

    def record_arrival(self, queued: Queued, now: float) -> None:
        """Count a request that arrives."""
        self.find_history(queued).record_arrival(queued, now)

    def record_start(self, queued: Queued, now: float) -> None:
        """Count a request that gets a slot."""
        self._by_rank.add(queued.rank, queued.cost, now)
        self.find_history(queued).record_start(queued, now)

    def find_rate(self, rank: Rank, now: float) -> float:
        """Return the rate of a rank."""
        return self._by_rank.find(rank, now)

    def find_rate_above(self, rank: Rank, now: float) -> float:
        """Return the rate of all ranks above one."""
        return sum(
            self._by_rank.find(other, now)
            for other in self._by_rank
            if other < rank
        )
