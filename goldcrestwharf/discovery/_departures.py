"""Targets that said that they will stop.

They say so in their answers, or to the daemon beside them, which announces it.
Each daemon remembers them for itself, so that it sends them nothing even if
the daemon beside the target restarts and has forgotten it.
"""

from collections import OrderedDict
from collections.abc import Callable

#: Fraction of the drain timeout in which a leaving target still gets requests
#: from daemons that have not learned of it, or that have no other target.
_DRAIN_FRACTION = 0.5

#: Maximum number of targets kept; the oldest are evicted.
_MAX_DEPARTURES = 4096

#: Identity of one start of a target: its id and its start in Unix ms.
TargetProcess = tuple[str, int]


def is_drain_over(left_at: float, now: float, drain_timeout: float) -> bool:
    """Return whether a target that left gets no requests any more."""
    return now - left_at > drain_timeout * _DRAIN_FRACTION


class Departures:
    """Leaving targets by process; a later start of a target is another one.

    ``drain_timeout`` is the time in seconds in which a leaving target may
    still get requests.
    """

    def __init__(
        self, *, drain_timeout: float, clock: Callable[[], float]
    ) -> None:
        """Start without departures; ``clock`` returns monotonic seconds."""
        self._drain_timeout = drain_timeout
        self._clock = clock
        self._left_at: OrderedDict[TargetProcess, float] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of departures."""
        return len(self._left_at)

    def __contains__(self, process: TargetProcess) -> bool:
        """Return whether a target is leaving."""
        return process in self._left_at

    def record(self, process: TargetProcess) -> None:
        """Record that a target is leaving; the first time counts."""
        self._left_at.setdefault(process, self._clock())
        if len(self._left_at) > _MAX_DEPARTURES:
            self._left_at.popitem(last=False)

    def is_over(self, process: TargetProcess) -> bool:
        """Return whether a target left and gets no requests any more."""
        left_at = self._left_at.get(process)
        if left_at is None:
            return False
        return is_drain_over(left_at, self._clock(), self._drain_timeout)
