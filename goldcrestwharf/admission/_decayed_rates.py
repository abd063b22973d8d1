"""Recent rates of what is counted, by key."""

import math
from collections.abc import Hashable, Iterator
from typing import Generic, TypeVar

#: Time constant of the class mix, in seconds: long enough for several requests
#: of a rare class, short against the swings of demand.
MIX_DECAY_S = 2.0

_KeyT = TypeVar('_KeyT', bound=Hashable)


class DecayedRates(Generic[_KeyT]):
    """Amounts per second by key, averaged with exponential decay."""

    def __init__(self, *, decay_s: float) -> None:
        """Average over a time constant in seconds."""
        self._decay_s = decay_s
        self._amounts: dict[_KeyT, tuple[float, float]] = {}

    def __iter__(self) -> Iterator[_KeyT]:
        """Iterate over the keys."""
        return iter(self._amounts)

    def add(self, key: _KeyT, amount: float, now: float) -> None:
        """Count an amount at a monotonic time, in seconds."""
        self._amounts[key] = (self._decay(key, now) + amount, now)

    def find(self, key: _KeyT, now: float) -> float:
        """Return the amount per second of a key."""
        return self._decay(key, now) / self._decay_s

    def _decay(self, key: _KeyT, now: float) -> float:
        amount, counted_at = self._amounts.get(key, (0, now))
        return amount * math.exp((counted_at - now) / self._decay_s)
