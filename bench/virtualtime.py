"""Run tasks on an event loop whose clock jumps from event to event."""

import asyncio
import selectors
from collections.abc import Awaitable, Callable
from contextlib import AbstractContextManager
from typing import TypeVar

import anyio

_OutcomeT = TypeVar('_OutcomeT')


class _JumpingSelector(selectors.DefaultSelector):
    """Advance the clock in place of waiting."""

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
    """Tell the time of the selector."""

    def __init__(self) -> None:
        self._clock = _JumpingSelector()
        super().__init__(self._clock)

    def time(self) -> float:
        return self._clock.now


class LoopTimers:
    """Offer the timer service on the running loop's clock."""

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
    """Run ``main`` to its end in virtual time."""
    return anyio.run(main, backend_options={'loop_factory': _VirtualLoop})
