"""Memory for the outcomes of requests that have ended."""

from collections import OrderedDict
from collections.abc import Callable, Hashable
from typing import Generic, Protocol, TypeVar

_OutcomeT = TypeVar('_OutcomeT')


class _Record(Protocol[_OutcomeT]):
    outcome: _OutcomeT | None


class OutcomeMemory(Generic[_OutcomeT]):
    """Memory that kept outcomes may take together; ``used`` is in bytes.

    Beyond ``max_bytes`` the oldest outcomes are replaced by short ones. Their
    records stay, so that no request runs twice.
    """

    def __init__(
        self,
        *,
        max_bytes: float,
        find_size: Callable[[_OutcomeT], int],
        shorten: Callable[[_OutcomeT], _OutcomeT],
    ) -> None:
        """Keep up to ``max_bytes``.

        ``find_size`` returns the bytes of an outcome, and ``shorten`` one
        without any in its place.
        """
        self.used = 0
        self._max_bytes = max_bytes
        self._find_size = find_size
        self._shorten = shorten
        self._records: OrderedDict[Hashable, _Record[_OutcomeT]]
        self._records = OrderedDict()
        self._sizes: dict[Hashable, int] = {}

    def add(self, key: Hashable, record: _Record[_OutcomeT]) -> None:
        """Keep the outcome of a record, and shorten older ones for it."""
        outcome = record.outcome
        size = 0 if outcome is None else self._find_size(outcome)
        if not size:
            return
        self._records[key] = record
        self._sizes[key] = size
        self.used += size
        while self.used > self._max_bytes:
            self._shorten_oldest()

    def discard(self, key: Hashable) -> None:
        """Count the outcome of an evicted record no more."""
        self._records.pop(key, None)
        self.used -= self._sizes.pop(key, 0)

    def _shorten_oldest(self) -> None:
        key, record = self._records.popitem(last=False)
        self.used -= self._sizes.pop(key)
        if record.outcome is not None:
            record.outcome = self._shorten(record.outcome)
