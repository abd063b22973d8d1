"""Match acks to the pings that wait for them."""

import itertools
import random
from collections.abc import Iterator
from contextlib import contextmanager

import anyio

from goldcrestwharf.timers import Timers

_MAX_SEQUENCE = 0xFFFFFFFF


class Acks:
    """Sequence numbers of pings and the tasks that wait for their acks."""

    def __init__(self, *, timers: Timers, rng: random.Random) -> None:
        """Start at a random number, so that restarts don't reuse one."""
        self._timers = timers
        self._sequences = itertools.count(rng.randrange(_MAX_SEQUENCE))
        self._waiting: dict[int, anyio.Event] = {}

    def next_sequence(self) -> int:
        """Return a sequence number for a ping that no task waits for."""
        return next(self._sequences) % _MAX_SEQUENCE

    def acknowledge(self, sequence: int) -> None:
        """Wake the task that waits for this ack; ignore a late one."""
        answered = self._waiting.get(sequence)
        if answered is not None:
            answered.set()

    async def wait(self, sequence: int, seconds: float) -> bool:
        """Return whether the ack arrives within ``seconds``."""
        answered = self._waiting[sequence]
        with self._timers.limit(seconds):
            await answered.wait()
        return answered.is_set()

    @contextmanager
    def expect(self) -> Iterator[int]:
        """Yield a new sequence number and accept its ack until the end."""
        sequence = self.next_sequence()
        self._waiting[sequence] = anyio.Event()
        try:
            yield sequence
        finally:
            self._waiting.pop(sequence)
