"""Run tasks on an event loop with a virtual clock."""

import asyncio
import selectors
from collections.abc import Awaitable, Callable
from contextlib import AbstractContextManager
from typing import TypeVar

import anyio

_OutcomeT = TypeVar('_OutcomeT')


class _JumpingSelector(selectors.DefaultSelector):
    """A selector that advances a virtual clock instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now: float = 0

    def select(
        self,
        timeout: float | None = None,
    ) -> list[tuple[selectors.SelectorKey, int]]:
        self.now += timeout or 0
        return super().select(0)


class _VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop that uses the selector's clock."""

    def __init__(self) -> None:
        self._clock = _JumpingSelector()
        super().__init__(self._clock)

    def time(self) -> float:
        return self._clock.now


class LoopTimers:
    """Timers that use the clock of the running event loop."""

    def now(self) -> float:
        """Return the loop's time in seconds."""
        return anyio.current_time()

    async def sleep(self, seconds: float) -> None:
        """Suspend the calling task."""
        await anyio.sleep(seconds)

    def limit(
        self,
        seconds: float,
    ) -> AbstractContextManager[anyio.CancelScope]:
        """Cancel the enclosed block after ``seconds``."""
        return anyio.move_on_after(seconds)


def run_virtually(main: Callable[[], Awaitable[_OutcomeT]]) -> _OutcomeT:
    """Run ``main`` in virtual time and return its result."""
    return anyio.run(main, backend_options={'loop_factory': _VirtualLoop})
