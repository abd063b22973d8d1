"""State of dispatched requests, kept so that none runs twice.

If the stream between two daemons breaks, the daemon that sent a request asks
over a new stream for its state. A request that never arrived is then marked as
forbidden, and only after that may the sender dispatch it elsewhere. A
repeatable request is discarded once it has ended.
"""

import enum
from collections import OrderedDict
from collections.abc import Callable
from typing import Generic, TypeVar

import attrs

from goldcrestwharf.admission._outcome_memory import OutcomeMemory

#: Seconds for which a request is kept after it has ended or was forbidden. A
#: sender fails requests that it can't ask about sooner than that.
_RECORD_RETENTION_S = 30.0

#: Maximum number of ended requests kept, and of processes whose evicted
#: requests are remembered. Beyond it the oldest are evicted.
_MAX_RECORDS = 20_000

#: Identifies a request: the id of the sending daemon's process, random and
#: new at each start, and the number that the daemon assigned. Numbers of a
#: process increase.
RequestKey = tuple[str, int]

_OutcomeT = TypeVar('_OutcomeT')


class DispatchState(enum.StrEnum):
    """What the local daemon knows about a request that it was sent.

    ``UNKNOWN`` is that of a request whose record may have been evicted: it may
    have run.
    """

    RUNNING = 'running'
    DONE = 'done'
    FORBIDDEN = 'forbidden'
    UNKNOWN = 'unknown'


@attrs.define(kw_only=True, eq=False)
class DispatchRecord(Generic[_OutcomeT]):
    """State of a request, and its outcome once it is done."""

    state: DispatchState
    recorded_at: float
    outcome: _OutcomeT | None = None


class _EvictedRequests:
    """The highest number of an evicted request of each process."""

    def __init__(self) -> None:
        self._highest: OrderedDict[str, int] = OrderedDict()

    def may_include(self, key: RequestKey) -> bool:
        """Return whether a request without a record may have been evicted."""
        process, number = key
        return number <= self._highest.get(process, -1)

    def record(self, key: RequestKey) -> None:
        """Record that a request was evicted."""
        process, number = key
        highest = self._highest.get(process, -1)
        self._highest[process] = max(highest, number)
        self._highest.move_to_end(process)
        if len(self._highest) > _MAX_RECORDS:
            self._highest.popitem(last=False)


class DispatchLedger(Generic[_OutcomeT]):
    """States of the requests that other daemons sent.

    Running requests are kept until they end, however long they take.
    """

    def __init__(
        self,
        *,
        clock: Callable[[], float],
        memory: OutcomeMemory[_OutcomeT] | None = None,
    ) -> None:
        """Create an empty ledger; ``memory`` bounds that of its outcomes."""
        self._clock = clock
        self._memory = memory
        self._running: dict[RequestKey, DispatchRecord[_OutcomeT]] = {}
        self._ended: OrderedDict[RequestKey, DispatchRecord[_OutcomeT]] = (
            OrderedDict()
        )
        self._evicted = _EvictedRequests()

    def accept(self, key: RequestKey) -> bool:
        """Record the arrival of a request; return whether it may run.

        It may not if it is a duplicate, was marked as forbidden, or could be
        one of these whose record was evicted.
        """
        if self._find(key) is not None or self._evicted.may_include(key):
            return False
        record = self._make_record(DispatchState.RUNNING)
        self._running[key] = record
        self._evict(record.recorded_at)
        return True

    def forbid(self, key: RequestKey, outcome: _OutcomeT) -> None:
        """Forbid a request that will never be complete, and store that.

        This is final: neither :meth:`finish` nor :meth:`discard` changes it.
        """
        self._end(key, DispatchState.FORBIDDEN).outcome = outcome

    def finish(self, key: RequestKey, outcome: _OutcomeT) -> None:
        """Store the outcome for a later inquiry."""
        if key in self._running:
            record = self._end(key, DispatchState.DONE)
            record.outcome = outcome
            if self._memory is not None:
                self._memory.add(key, record)

    def discard(self, key: RequestKey) -> None:
        """Remove a running request for which no inquiry can follow."""
        self._running.pop(key, None)

    def inquire(self, key: RequestKey) -> DispatchRecord[_OutcomeT]:
        """Return the record of a request; forbid a request not yet seen."""
        known = self._find(key)
        if known is not None:
            return known
        if self._evicted.may_include(key):
            return self._make_record(DispatchState.UNKNOWN)
        return self._end(key, DispatchState.FORBIDDEN)

    def _find(self, key: RequestKey) -> DispatchRecord[_OutcomeT] | None:
        return self._running.get(key) or self._ended.get(key)

    def _make_record(self, state: DispatchState) -> DispatchRecord[_OutcomeT]:
        return DispatchRecord(state=state, recorded_at=self._clock())

    def _end(
        self, key: RequestKey, state: DispatchState
    ) -> DispatchRecord[_OutcomeT]:
        self._running.pop(key, None)
        record = self._make_record(state)
        self._ended[key] = record
        self._ended.move_to_end(key)
        self._evict(record.recorded_at)
        return record

    def _evict(self, now: float) -> None:
        while self._ended:
            key, oldest = next(iter(self._ended.items()))
            is_expired = now - oldest.recorded_at > _RECORD_RETENTION_S
            if not is_expired and len(self._ended) <= _MAX_RECORDS:
                return
            self._ended.pop(key)
            self._evicted.record(key)
            if self._memory is not None:
                self._memory.discard(key)
