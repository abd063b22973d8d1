"""Interface of the timer service."""

import random
from collections.abc import AsyncIterator
from contextlib import AbstractContextManager
from typing import Protocol

import anyio


class Timers(Protocol):
    """Clock, sleeps and timeouts."""

    def now(self) -> float:
        """Return the seconds passed since an arbitrary fixed point."""

    async def sleep(self, seconds: float) -> None:
        """Suspend the calling task for ``seconds``."""

    def limit(
        self,
        seconds: float,
    ) -> AbstractContextManager[anyio.CancelScope]:
        """Cancel the enclosed block after ``seconds``.

        The block ends without an error; ``cancelled_caught`` of the scope
        is true after a timeout.
        """


async def subscribe(
    timers: Timers,
    *,
    period: float,
    jitter: float = 0,
    rng: random.Random | None = None,
) -> AsyncIterator[float]:
    """Yield the time at each tick of a periodic subscription.

    ``period`` is in seconds. Each wait is shortened by a random fraction of
    up to ``jitter`` (0 to 1), so that the ticks of many daemons spread out.
    """
    source = rng or random.Random()
    while True:
        await timers.sleep(period * (1 - jitter * source.random()))
        yield timers.now()
