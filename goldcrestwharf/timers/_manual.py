"""Timer service on a clock that tests advance."""

import heapq
import itertools
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import anyio
import attrs
from anyio.lowlevel import checkpoint

#: Event loop iterations for woken tasks before the clock moves on.
_ITERATIONS_PER_WAKE = 100


@attrs.frozen(order=True)
class _ScheduledCall:
    """Scheduled call; calls sort by due time, then by order of scheduling."""

    due: float
    sequence: int
    callback: Callable[[], object] = attrs.field(order=False, eq=False)


class ManualTimers:
    """Timers whose clock only :meth:`advance` moves."""

    def __init__(self, *, start: float = 0) -> None:
        """Set the clock to ``start`` seconds."""
        self._now = start
        self._sequence = itertools.count()
        self._scheduled: list[_ScheduledCall] = []

    def now(self) -> float:
        """Return the time of the clock in seconds."""
        return self._now

    async def sleep(self, seconds: float) -> None:
        """Suspend the task until the clock is advanced by ``seconds``."""
        woken = anyio.Event()
        self._call_at(self._now + max(seconds, 0), woken.set)
        await woken.wait()

    @contextmanager
    def limit(self, seconds: float) -> Iterator[anyio.CancelScope]:
        """Cancel the block once the clock is advanced by ``seconds``."""
        with anyio.CancelScope() as scope:
            self._call_at(self._now + seconds, scope.cancel)
            yield scope

    async def advance(self, seconds: float) -> None:
        """Move the clock and run all calls that fall due, ordered by time."""
        end = self._now + seconds
        await anyio.wait_all_tasks_blocked()
        while self._scheduled and self._scheduled[0].due <= end:
            earliest = heapq.heappop(self._scheduled)
            self._now = max(self._now, earliest.due)
            earliest.callback()
            await _run_woken_tasks()
        await anyio.wait_all_tasks_blocked()
        self._now = end

    def _call_at(self, due: float, callback: Callable[[], object]) -> None:
        heapq.heappush(
            self._scheduled, _ScheduledCall(due, next(self._sequence), callback)
        )


async def _run_woken_tasks() -> None:
    """Give the woken tasks time to run until they wait again.

    A fixed number of iterations makes each run deterministic. Waiting until
    all tasks are blocked would take 0.1 s for every event.
    """
    for _ in range(_ITERATIONS_PER_WAKE):
        await checkpoint()
