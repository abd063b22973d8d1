"""Order in which the workspaces of one rank take turns."""

import heapq
import itertools
from collections.abc import Iterable, Iterator

from goldcrestwharf.admission._flow import Flow, Queued

#: Start tag, number and flow.
_Turn = tuple[float, int, Flow]

#: Entries above which those that are out of date are dropped.
_MIN_TIDY_COUNT = 64


class Turns:
    """Flows by their start tags.

    An entry is out of date once its flow is empty or has another start tag.
    """

    def __init__(self) -> None:
        """Start without flows."""
        self._entries: list[_Turn] = []
        self._numbers = itertools.count()
        self._tidy_count = _MIN_TIDY_COUNT

    def push(self, flow: Flow) -> None:
        """Insert a flow with its present start tag."""
        if len(self._entries) > self._tidy_count:
            self._tidy()
        heapq.heappush(self._entries, (flow.start, next(self._numbers), flow))

    def peek(self) -> Queued | None:
        """Return the next request."""
        while self._entries:
            first = self._entries[0]
            if _is_current(first):
                return first[-1].entries[0]
            heapq.heappop(self._entries)
        return None

    def _tidy(self) -> None:
        """Drop what is out of date, also if no request gets a slot for long."""
        self._entries = list(filter(_is_current, self._entries))
        heapq.heapify(self._entries)
        self._tidy_count = max(len(self._entries) * 2, _MIN_TIDY_COUNT)


def _is_current(turn: _Turn) -> bool:
    start, _, flow = turn
    return bool(flow.entries) and start == flow.start


def walk(flows: Iterable[Flow]) -> Iterator[Queued]:
    """Yield the requests of all flows in the order of their turns."""
    return (
        queued for _, queued in heapq.merge(*map(_tag, flows), key=_get_tag)
    )


def _tag(flow: Flow) -> Iterator[tuple[float, Queued]]:
    start = flow.start
    for queued in flow.entries:
        yield start, queued
        start += queued.cost / flow.weight


def _get_tag(tagged: tuple[float, Queued]) -> float:
    return tagged[0]
