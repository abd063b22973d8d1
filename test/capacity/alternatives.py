"""Simpler rules for the limit, to compare with."""

import math
from collections import defaultdict
from collections.abc import Callable
from types import MappingProxyType

from goldcrestwharf.capacity import SlotOutcome, SlotSample
from goldcrestwharf.capacity._time_model import TimeModel
from test.capacity.target_model import CLASSES

OBJECTIVES = MappingProxyType({kind.name: kind.objective for kind in CLASSES})


class Alternative:
    """Rule that moves ``level`` between 1 and the slots."""

    def __init__(self, *, slots: int, clock: Callable[[], float]) -> None:
        self.slots = slots
        self.level: float = slots
        self.clock = clock
        self.changed_at = clock()

    @property
    def limit(self) -> int:
        return round(min(max(self.level, 1), self.slots))

    def is_due(self, seconds: float) -> bool:
        if self.clock() - self.changed_at < seconds:
            return False
        self.changed_at = self.clock()
        return True


class LateDecrease(Alternative):
    """Additive increase, multiplicative decrease on late answers."""

    def record(self, sample: SlotSample) -> None:
        objective = OBJECTIVES[sample.request_class]
        is_answered = sample.outcome is SlotOutcome.ANSWERED
        if is_answered and sample.duration < objective:
            self.level = min(self.level + 1 / self.level, self.slots)
        elif self.is_due(1):
            self.level = max(self.level * 0.8, 1)


class Gradient(Alternative):
    """Limit by the least mean time of a class over its present mean time."""

    def __init__(self, *, slots: int, clock: Callable[[], float]) -> None:
        super().__init__(slots=slots, clock=clock)
        self.means: dict[str, float] = {}
        self.least: dict[str, float] = defaultdict(lambda: math.inf)
        self.reset_at = clock()

    def record(self, sample: SlotSample) -> None:
        name = sample.request_class
        mean = self.means.get(name, sample.duration)
        mean += (sample.duration - mean) * 0.1
        self.means[name] = mean
        if self.clock() - self.reset_at > 30:
            self.reset_at = self.clock()
            self.least.clear()
        self.least[name] = min(self.least[name], mean)
        ratio = min(max(1.5 * self.least[name] / mean, 0.5), 1)
        wanted = self.level * ratio + math.sqrt(self.level) / 2
        self.level += (min(wanted, self.slots) - self.level) * 0.1


class Fit(Alternative):
    """Limit with the best throughput seen, one more every other second."""

    def __init__(self, *, slots: int, clock: Callable[[], float]) -> None:
        super().__init__(slots=slots, clock=clock)
        self.model = TimeModel()

    def record(self, sample: SlotSample) -> None:
        time = math.log(max(sample.duration * (1 - sample.call_share), 0.0001))
        level = round(sample.mean_in_use)
        self.model.record(sample.request_class, level, time)
        if self.is_due(2):
            rates = {self.slots: -math.inf}
            for known in range(1, self.slots + 1):
                slowdown = self.model.find_slowdown(known)
                if slowdown is not None:
                    rates[known] = math.log(known) - slowdown
            self.level = max(rates, key=rates.__getitem__) + 1
