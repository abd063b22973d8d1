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

#: Seconds for which a request is kept after its last change of state: longer
#: than the longest caller deadline, after which no daemon asks for it.
_RECORD_RETENTION_S = 30.0

#: Maximum number of requests kept. Beyond it the oldest are evicted, whatever
#: their state; an evicted request counts as one that never arrived.
_MAX_RECORDS = 20_000

#: Identifies a request: the id of the sending daemon's process, random and
#: new at each start, and the number that the daemon assigned.
RequestKey = tuple[str, int]

_OutcomeT = TypeVar('_OutcomeT')


class DispatchState(enum.StrEnum):
    """What the local daemon knows about a request that it was sent."""

    RUNNING = 'running'
    DONE = 'done'
    FORBIDDEN = 'forbidden'


@attrs.define(kw_only=True, eq=False)
class DispatchRecord(Generic[_OutcomeT]):
    """State of a request, and its outcome once it is done."""

    state: DispatchState
    recorded_at: float
    outcome: _OutcomeT | None = None


class DispatchLedger(Generic[_OutcomeT]):
    """States of the requests that other daemons sent."""

    def __init__(self, *, clock: Callable[[], float]) -> None:
        """Create an empty ledger."""
        self._clock = clock
        self._records: OrderedDict[RequestKey, DispatchRecord[_OutcomeT]] = (
            OrderedDict()
        )

    def accept(self, key: RequestKey) -> bool:
        """Record the arrival of a request; return whether it may run.

        It may not if it is a duplicate or was marked as forbidden.
        """
        if key in self._records:
            return False
        self._store(key, DispatchState.RUNNING)
        return True

    def forbid(self, key: RequestKey, outcome: _OutcomeT) -> None:
        """Forbid a request that will never be complete, and store that.

        This is final: neither :meth:`finish` nor :meth:`discard` changes it.
        """
        self._store(key, DispatchState.FORBIDDEN).outcome = outcome

    def finish(self, key: RequestKey, outcome: _OutcomeT) -> None:
        """Store the outcome for a later inquiry."""
        if not self._is_forbidden(key):
            self._store(key, DispatchState.DONE).outcome = outcome

    def discard(self, key: RequestKey) -> None:
        """Remove a request for which no inquiry can follow."""
        if not self._is_forbidden(key):
            self._records.pop(key, None)

    def inquire(self, key: RequestKey) -> DispatchRecord[_OutcomeT]:
        """Return the record of a request; forbid a request not yet seen."""
        known = self._records.get(key)
        return known or self._store(key, DispatchState.FORBIDDEN)

    def _is_forbidden(self, key: RequestKey) -> bool:
        known = self._records.get(key)
        return known is not None and known.state is DispatchState.FORBIDDEN

    def _store(
        self,
        key: RequestKey,
        state: DispatchState,
    ) -> DispatchRecord[_OutcomeT]:
        now = self._clock()
        record: DispatchRecord[_OutcomeT] = DispatchRecord(
            state=state,
            recorded_at=now,
        )
        self._records[key] = record
        self._records.move_to_end(key)
        self._evict(now)
        return record

    def _evict(self, now: float) -> None:
        while self._records:
            oldest = next(iter(self._records.values()))
            is_expired = now - oldest.recorded_at > _RECORD_RETENTION_S
            if not is_expired and len(self._records) <= _MAX_RECORDS:
                return
            self._records.popitem(last=False)
