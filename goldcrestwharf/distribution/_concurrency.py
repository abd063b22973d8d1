"""Limit how many followers a relay serves concurrently."""

import random
from collections.abc import Iterator
from contextlib import contextmanager

_MS_PER_S = 1000


class ConcurrencyLimit:
    """A concurrency limit that gives refused followers a retry delay.

    The delay grows with the number of recent refusals, so that many
    followers at once spread their retries over the time that serving them
    all takes.
    """

    def __init__(
        self,
        *,
        max_concurrent: int,
        service_time_s: float,
        rng: random.Random,
    ) -> None:
        """Allow ``max_concurrent`` slots, held ``service_time_s`` each."""
        self._max_concurrent = max_concurrent
        self._service_time_s = service_time_s
        self._rng = rng
        self._in_use = 0
        self._refusals = 0

    def is_full(self) -> bool:
        """Return whether all slots are in use."""
        return self._in_use >= self._max_concurrent

    @contextmanager
    def slot(self) -> Iterator[None]:
        """Occupy one slot for the duration of the enclosed block."""
        self._in_use += 1
        self._refusals = max(self._refusals - 1, 0)
        try:
            yield
        finally:
            self._in_use -= 1

    def retry_after_ms(self) -> int:
        """Return the milliseconds after which a refused follower may retry.

        The number of waiting followers is estimated as the refusals minus
        the admissions since; the delay is drawn uniformly from the time that
        serving them takes.
        """
        self._refusals += 1
        turns = 1 + self._refusals / self._max_concurrent
        wait = self._service_time_s * self._rng.uniform(1, 1 + turns)
        return round(wait * _MS_PER_S)
