"""Pools of targets: those of the local zone and all others."""

import random

import attrs

from goldcrestwharf.routing._model import Candidate, TargetKey
from goldcrestwharf.routing._record import TargetRecord
from goldcrestwharf.routing._spillover import PoolLoad

_MAX_SAMPLES = 4


@attrs.frozen(kw_only=True)
class PoolEntry:
    """A candidate with its record; ``slow_start`` is in seconds."""

    candidate: Candidate
    key: TargetKey
    record: TargetRecord
    slow_start: float

    @property
    def zone(self) -> str:
        """Return the availability zone of the target."""
        return self.candidate.member.zone

    @property
    def is_usable(self) -> bool:
        """Return whether the target is not ejected."""
        return self.record.ejected_until is None

    def weight(self, now: float) -> float:
        """Return the slow start weight, up to 1."""
        return self.record.weight(self.slow_start, now)

    def score(self, now: float) -> float:
        """Return the estimated requests per slot; lower is better."""
        slots = max(self.candidate.target.slots, 1) * self.weight(now)
        return self.record.load.requests(now) / slots


@attrs.frozen(kw_only=True)
class Constraints:
    """Constraints on the choice of a target.

    With ``allows_ejected`` set, ejected targets may be chosen too. Without
    ``may_probe`` the request doesn't probe an ejected target.
    """

    now: float
    exclude: frozenset[TargetKey] = frozenset()
    may_probe: bool = True
    allows_ejected: bool = False

    def allows(self, entry: PoolEntry) -> bool:
        """Return whether ``entry`` may be chosen."""
        if entry.key in self.exclude:
            return False
        return self.allows_ejected or entry.is_usable

    def may_probe_entry(self, entry: PoolEntry) -> bool:
        """Return whether the request may probe the ejected ``entry``."""
        return entry.record.is_probe_due(self.now) and (
            entry.key not in self.exclude
        )


class Pool:
    """Pool of targets that picks the less loaded of two random ones."""

    def __init__(
        self,
        *,
        entries: tuple[PoolEntry, ...],
        rng: random.Random,
    ) -> None:
        """Pick from ``entries``."""
        self.entries = entries
        self._rng = rng

    def pick(self, constraints: Constraints) -> PoolEntry | None:
        """Return an allowed target, ``None`` if there is none."""
        first = self._sample(constraints, None)
        if first is None:
            return None
        second = self._sample(constraints, first)
        if second is None:
            return first
        is_first = first.score(constraints.now) <= second.score(constraints.now)
        return first if is_first else second

    def load(self, now: float) -> PoolLoad:
        """Return the total load of the usable targets."""
        usable = [entry for entry in self.entries if entry.is_usable]
        return PoolLoad(
            requests=sum(entry.record.load.requests(now) for entry in usable),
            slots=sum(entry.candidate.target.slots for entry in usable),
        )

    def _sample(
        self, constraints: Constraints, other: PoolEntry | None
    ) -> PoolEntry | None:
        """Sample an allowed target by weight, other than ``other``.

        A few random samples usually find one, which avoids a full scan.
        """
        if not self.entries:
            return None
        for _ in range(_MAX_SAMPLES):
            entry = self._rng.choice(self.entries)
            if entry is other or not constraints.allows(entry):
                continue
            if self._accepts(entry, constraints.now):
                return entry
        others = (entry for entry in self.entries if entry is not other)
        allowed = tuple(entry for entry in others if constraints.allows(entry))
        if not allowed:
            return None
        weights = [entry.weight(constraints.now) for entry in allowed]
        return self._rng.choices(allowed, weights)[0]

    def _accepts(self, entry: PoolEntry, now: float) -> bool:
        weight = entry.weight(now)
        return weight >= 1 or self._rng.random() < weight
