"""What the classes of one workspace got recently in one rank."""

from collections.abc import Iterator

from goldcrestwharf.admission._decayed_rates import MIX_DECAY_S, DecayedRates
from goldcrestwharf.admission._flow import Queued

#: Time constant of the served shares, in seconds; longer than the wait of a
#: delay-tolerant request.
_SHARE_DECAY_S = 8.0

#: Share of its requests served, relative to all classes, below which a class
#: is starved.
_STARVED_FRACTION = 0.5

#: Request classes tracked in one history.
_MAX_CLASSES = 256

#: Key of the sum over all classes.
_ALL = ''


class FlowHistory:
    """Recent slot time, arrivals and starts by request class."""

    def __init__(self) -> None:
        """Start without any requests."""
        self._slot_time: DecayedRates[str] = DecayedRates(decay_s=MIX_DECAY_S)
        self._arrivals: DecayedRates[str] = DecayedRates(decay_s=_SHARE_DECAY_S)
        self._starts: DecayedRates[str] = DecayedRates(decay_s=_SHARE_DECAY_S)
        self._objectives: dict[str, float] = {}

    @property
    def is_full(self) -> bool:
        """Return whether no more classes are tracked."""
        return len(self._objectives) > _MAX_CLASSES

    def record_arrival(self, queued: Queued, now: float) -> None:
        """Count a request that arrives."""
        request_class = queued.request.request_class
        self._arrivals.add(request_class, 1, now)
        self._arrivals.add(_ALL, 1, now)
        self._objectives[request_class] = queued.objective

    def record_start(self, queued: Queued, now: float) -> None:
        """Count a request that gets a slot."""
        request_class = queued.request.request_class
        self._slot_time.add(request_class, queued.cost, now)
        self._starts.add(request_class, 1, now)
        self._starts.add(_ALL, 1, now)

    def is_starved(self, request_class: str, now: float) -> bool:
        """Return whether far fewer requests of a class start than of others."""
        served = self._find_share(request_class, now)
        return served < self._find_share(_ALL, now) * _STARVED_FRACTION

    def find_gaps(
        self, queued: Queued, now: float
    ) -> Iterator[tuple[float, float]]:
        """Yield the rate of each other class with a shorter objective.

        With it comes the time in seconds for which its new requests go before
        the one that is queued now.
        """
        for request_class in self._slot_time:
            gap = queued.objective - self._objectives[request_class]
            if gap > 0 and request_class != queued.request.request_class:
                yield self._slot_time.find(request_class, now), gap

    def _find_share(self, request_class: str, now: float) -> float:
        arrivals = self._arrivals.find(request_class, now)
        if not arrivals:
            return 1
        return self._starts.find(request_class, now) / arrivals
