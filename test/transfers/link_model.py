"""A link with a queue, for tests of the rules that share it."""

import heapq
import itertools
from collections.abc import Callable

import attrs

#: Bytes of the packet heads of a message, roughly.
OVERHEAD_BYTES = 60

#: Least interval of two steps of a pump, as in the daemon.
MIN_WAIT_S = 0.002

#: Due time, order of scheduling, and what is called.
_Event = tuple[float, int, Callable[[], None]]


class Link:
    """Inbound link of a receiver: first come, first served.

    ``now`` is the injected clock; events run in order of their time.
    """

    def __init__(self, *, rate: float, latency: float) -> None:
        self.now: float = 0
        self._rate = rate
        self._latency = latency
        self._free_at: float = 0
        self._sequence = itertools.count()
        self._events: list[_Event] = []

    def at(self, due: float, call: Callable[[], None]) -> None:
        heapq.heappush(self._events, (due, next(self._sequence), call))

    def after(self, seconds: float, call: Callable[[], None]) -> None:
        self.at(self.now + seconds, call)

    def carry(self, size: int, deliver: Callable[[], None]) -> None:
        """Deliver a message that was sent just now."""
        self.after(self._latency, lambda: self._queue(size, deliver))

    def run(self, until: float) -> None:
        while self._events and self._events[0][0] <= until:
            event = heapq.heappop(self._events)
            self.now = event[0]
            event[2]()

    def _queue(self, size: int, deliver: Callable[[], None]) -> None:
        begins_at = max(self._free_at, self.now)
        self._free_at = begins_at + (size + OVERHEAD_BYTES) / self._rate
        self.at(self._free_at, deliver)


class Pump:
    """Step that is repeated after the wait that it returns."""

    def __init__(self, link: Link, step: Callable[[], float | None]) -> None:
        self._link = link
        self._step = step
        self._number = 0

    def run(self) -> None:
        self._number += 1
        wait = self._step()
        if wait is not None:
            number = self._number
            due = max(wait, MIN_WAIT_S)
            self._link.after(due, lambda: self._run_if_latest(number))

    def _run_if_latest(self, number: int) -> None:
        if number == self._number:
            self.run()


@attrs.define(kw_only=True, eq=False)
class Waits:
    """Times in seconds from a message's or a body's start to its end."""

    short: list[float] = attrs.field(factory=list)
    bodies: list[float] = attrs.field(factory=list)
    refused: int = 0


def find_quantile(samples: list[float], fraction: float) -> float:
    return sorted(samples)[int(len(samples) * fraction)]
