"""Bound what a relay does for a herd of followers."""

import random
from collections.abc import Iterator
from contextlib import contextmanager

_MS_PER_S = 1000


class Admission:
    """Admit a bounded number at once and tell the others when to come back.

    The wait that a refusal names grows with the number refused lately, so
    that a herd spreads over the time that serving it takes.
    """

    def __init__(
        self,
        *,
        at_once: int,
        turn_s: float,
        rng: random.Random,
    ) -> None:
        """Admit ``at_once`` holders that take about ``turn_s`` each."""
        self._at_once = at_once
        self._turn_s = turn_s
        self._rng = rng
        self._running = 0
        self._refused = 0

    def is_full(self) -> bool:
        """Tell whether nobody more is admitted now."""
        return self._running >= self._at_once

    @contextmanager
    def admitted(self) -> Iterator[None]:
        """Count one holder for the length of the enclosed block."""
        self._running += 1
        self._refused = max(self._refused - 1, 0)
        try:
            yield
        finally:
            self._running -= 1

    def retry_after_ms(self) -> int:
        """Return when a refused follower should come back.

        The herd's size is estimated by the refusals that no admission has
        made up for; the wait is drawn evenly over the time it takes.
        """
        self._refused += 1
        turns = 1 + self._refused / self._at_once
        wait = self._turn_s * self._rng.uniform(1, 1 + turns)
        return round(wait * _MS_PER_S)
