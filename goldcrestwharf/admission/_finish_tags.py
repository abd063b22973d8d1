"""Virtual time of a fair queue, and the tags of idle workspaces."""

import math
from collections.abc import Callable

from goldcrestwharf.admission._decayed_rates import MIX_DECAY_S, DecayedRates
from goldcrestwharf.admission._flow import Flow

#: Finish tags above which those that no longer matter are dropped.
_MIN_TIDY_COUNT = 512


class FinishTags:
    """Virtual time of a fair queue, and where each workspace goes on.

    Tags are in seconds of slot time per unit of weight.
    """

    def __init__(self, *, now: Callable[[], float]) -> None:
        """Start at zero; ``now`` returns monotonic seconds."""
        self.virtual_time: float = 0
        self._now = now
        self._progress: DecayedRates[None] = DecayedRates(decay_s=MIX_DECAY_S)
        self._tags: dict[str, float] = {}
        self._tidy_count = _MIN_TIDY_COUNT

    @property
    def speed(self) -> float:
        """Return the recent advance of the virtual time per second.

        While all slots are occupied, it is the slot time per unit of weight
        that a workspace with waiting requests gets.
        """
        return self._progress.find(None, self._now())

    def find_start(self, workspace: str, credit: float) -> float:
        """Return the start tag of the next request of a workspace.

        One that was idle starts earlier by ``credit``, the cost of a request.
        Without it, a small workspace that sends two requests at once waits for
        the second one until all others have had many.
        """
        finish = self._tags.get(workspace, -math.inf)
        return max(finish, self.virtual_time - credit)

    def find_debt(self, flow: Flow) -> float:
        """Return the slot time by which a flow is ahead, in seconds."""
        return max(flow.start - self.virtual_time, 0) * flow.weight

    def advance(self, start: float) -> None:
        """Advance the virtual time to the start tag of what is served."""
        if start > self.virtual_time:
            self._progress.add(None, start - self.virtual_time, self._now())
            self.virtual_time = start

    def store(self, workspace: str, finish: float) -> None:
        """Keep the finish tag of a workspace that has nothing waiting."""
        self._tags[workspace] = finish
        if len(self._tags) > self._tidy_count:
            self._tags = {
                name: tag
                for name, tag in self._tags.items()
                if tag > self.virtual_time
            }
            self._tidy_count = max(len(self._tags) * 2, _MIN_TIDY_COUNT)
