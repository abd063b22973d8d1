"""Run the timer service on a clock that is advanced by hand."""

import heapq
import itertools
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import anyio
import attrs
from anyio.lowlevel import checkpoint

#: Turns of the event loop that woken tasks get before the clock moves on.
_SETTLE_TURNS = 100


@attrs.frozen(order=True)
class _Wake:
    """Order what falls due by time, then by subscription."""

    due: float
    sequence: int
    wake: Callable[[], object] = attrs.field(order=False, eq=False)


class ManualTimers:
    """Tell a time that only :meth:`advance` moves."""

    def __init__(self, *, start: float = 0) -> None:
        """Set the clock to ``start`` seconds."""
        self._now = start
        self._order = itertools.count()
        self._pending: list[_Wake] = []

    def now(self) -> float:
        """Return the seconds that the clock shows."""
        return self._now

    async def sleep(self, seconds: float) -> None:
        """Suspend the calling task until the clock has moved enough."""
        woken = anyio.Event()
        self._call_at(self._now + max(seconds, 0), woken.set)
        await woken.wait()

    @contextmanager
    def limit(self, seconds: float) -> Iterator[anyio.CancelScope]:
        """Cancel the enclosed block once ``seconds`` have been advanced."""
        with anyio.CancelScope() as scope:
            self._call_at(self._now + seconds, scope.cancel)
            yield scope

    async def advance(self, seconds: float) -> None:
        """Move the clock and run all that falls due, in order of time."""
        end = self._now + seconds
        await anyio.wait_all_tasks_blocked()
        while self._pending and self._pending[0].due <= end:
            earliest = heapq.heappop(self._pending)
            self._now = max(self._now, earliest.due)
            earliest.wake()
            await _settle()
        await anyio.wait_all_tasks_blocked()
        self._now = end

    def _call_at(self, due: float, wake: Callable[[], object]) -> None:
        heapq.heappush(self._pending, _Wake(due, next(self._order), wake))


async def _settle() -> None:
    """Let the tasks that were woken run until they wait again.

    A fixed number of turns keeps each run the same; waiting until all tasks
    are blocked would cost a tenth of a second for every event.
    """
    for _ in range(_SETTLE_TURNS):
        await checkpoint()
