"""Draw targets from those of one zone or of all others."""

import random

import attrs

from goldcrestwharf.routing._model import Candidate, TargetKey
from goldcrestwharf.routing._record import TargetRecord
from goldcrestwharf.routing._spill import Room

_MAX_DRAWS = 4


@attrs.frozen(kw_only=True)
class Entry:
    """Join a candidate with its record; ``slow_start`` is in seconds."""

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
        """Tell whether the target isn't ejected."""
        return self.record.out_until is None

    def weight(self, now: float) -> float:
        """Return the share that the slow start allows."""
        return self.record.weight(self.slow_start, now)

    def score(self, now: float) -> float:
        """Return the estimated requests per slot, lower being better."""
        slots = max(self.candidate.target.slots, 1) * self.weight(now)
        return self.record.load.requests(now) / slots


@attrs.frozen(kw_only=True)
class Draw:
    """State what a choice may return.

    With ``is_desperate`` set, ejected targets are taken too.
    Without ``may_probe`` no ejected target is tested by the request.
    """

    now: float
    exclude: frozenset[TargetKey] = frozenset()
    may_probe: bool = True
    is_desperate: bool = False

    def allows(self, entry: Entry) -> bool:
        """Tell whether the choice may return ``entry``."""
        if entry.key in self.exclude:
            return False
        return self.is_desperate or entry.is_usable

    def may_test(self, entry: Entry) -> bool:
        """Tell whether the request may probe the ejected ``entry``."""
        return entry.record.is_probe_due(self.now) and (
            entry.key not in self.exclude
        )


class Pool:
    """Pick the less loaded of two random targets."""

    def __init__(
        self,
        *,
        entries: tuple[Entry, ...],
        rng: random.Random,
    ) -> None:
        """Draw from ``entries``."""
        self.entries = entries
        self._rng = rng

    def pick(self, draw: Draw) -> Entry | None:
        """Return a target that ``draw`` allows, ``None`` if there is none."""
        first = self._draw(draw, None)
        if first is None:
            return None
        second = self._draw(draw, first)
        if second is None:
            return first
        is_first = first.score(draw.now) <= second.score(draw.now)
        return first if is_first else second

    def room(self, now: float) -> Room:
        """Sum up the usable targets."""
        usable = [entry for entry in self.entries if entry.is_usable]
        return Room(
            requests=sum(entry.record.load.requests(now) for entry in usable),
            slots=sum(entry.candidate.target.slots for entry in usable),
        )

    def _draw(self, draw: Draw, other: Entry | None) -> Entry | None:
        """Draw by weight one that isn't ``other``.

        A few random looks make a scan of all rarely needed.
        """
        if not self.entries:
            return None
        for _ in range(_MAX_DRAWS):
            entry = self._rng.choice(self.entries)
            if entry is other or not draw.allows(entry):
                continue
            if self._accepts(entry, draw.now):
                return entry
        others = (entry for entry in self.entries if entry is not other)
        allowed = tuple(entry for entry in others if draw.allows(entry))
        if not allowed:
            return None
        weights = [entry.weight(draw.now) for entry in allowed]
        return self._rng.choices(allowed, weights)[0]

    def _accepts(self, entry: Entry, now: float) -> bool:
        weight = entry.weight(now)
        return weight >= 1 or self._rng.random() < weight
