"""Wait for the answers to pings."""

import itertools
import random
from collections.abc import Iterator
from contextlib import contextmanager

import anyio

from goldcrestwharf.timers import Timers

_MAX_SEQUENCE = 0xFFFFFFFF


class Acks:
    """Number the pings and wake who waits for their answers."""

    def __init__(self, *, timers: Timers, rng: random.Random) -> None:
        """Start at a random number, so that restarts don't repeat one."""
        self._timers = timers
        self._sequences = itertools.count(rng.randrange(_MAX_SEQUENCE))
        self._waiting: dict[int, anyio.Event] = {}

    def number(self) -> int:
        """Return the number of a ping whose answer nobody awaits."""
        return next(self._sequences) % _MAX_SEQUENCE

    def settle(self, sequence: int) -> None:
        """Record the answer to a ping; a late one belongs to nobody."""
        answered = self._waiting.get(sequence)
        if answered is not None:
            answered.set()

    async def wait(self, sequence: int, seconds: float) -> bool:
        """Tell whether the answer comes within ``seconds``."""
        answered = self._waiting[sequence]
        with self._timers.limit(seconds):
            await answered.wait()
        return answered.is_set()

    @contextmanager
    def expect(self) -> Iterator[int]:
        """Yield the number of a new ping and await its answer meanwhile."""
        sequence = self.number()
        self._waiting[sequence] = anyio.Event()
        try:
            yield sequence
        finally:
            self._waiting.pop(sequence)
