"""Remember what became of requests, so that none runs twice.

Answers streams that break between two daemons: the daemon that sent a
request asks over a new stream what became of it. One that never arrived is
marked as never to be run, and only then may it be sent elsewhere.
"""

import enum
from collections import OrderedDict
from collections.abc import Callable
from typing import Generic, TypeVar

import attrs

#: Seconds for which settled requests are remembered: more than the longest
#: deadline of a caller, after which nobody asks.
_MEMORY_S = 30.0

#: Requests remembered at once; the oldest go first.
_CAPACITY = 20_000

#: Names a request: the process of the daemon that sent it, and its number.
RequestKey = tuple[str, int]

_OutcomeT = TypeVar('_OutcomeT')


class Standing(enum.StrEnum):
    """Tell what is known of a request."""

    RUNNING = 'running'
    DONE = 'done'
    FORBIDDEN = 'forbidden'


@attrs.define(kw_only=True, eq=False)
class LedgerEntry(Generic[_OutcomeT]):
    """Hold the standing of a request, and its outcome once it is done."""

    standing: Standing
    noted_at: float
    outcome: _OutcomeT | None = None


class DispatchLedger(Generic[_OutcomeT]):
    """Keep the standing of the requests that other daemons sent."""

    def __init__(self, *, clock: Callable[[], float]) -> None:
        """Know of no request."""
        self._clock = clock
        self._entries: OrderedDict[RequestKey, LedgerEntry[_OutcomeT]] = (
            OrderedDict()
        )

    def accept(self, key: RequestKey) -> bool:
        """Note an arrival; tell whether the request may run.

        It may not if it arrived before or was marked as never to be run.
        """
        if key in self._entries:
            return False
        self._write(key, Standing.RUNNING)
        return True

    def finish(self, key: RequestKey, outcome: _OutcomeT) -> None:
        """Keep the outcome for a daemon that asks again."""
        self._write(key, Standing.DONE).outcome = outcome

    def drop(self, key: RequestKey) -> None:
        """Forget a request of which nobody will ask."""
        self._entries.pop(key, None)

    def inquire(self, key: RequestKey) -> LedgerEntry[_OutcomeT]:
        """Return what is known; an unknown request never runs from now on."""
        known = self._entries.get(key)
        return known or self._write(key, Standing.FORBIDDEN)

    def _write(
        self,
        key: RequestKey,
        standing: Standing,
    ) -> LedgerEntry[_OutcomeT]:
        now = self._clock()
        entry: LedgerEntry[_OutcomeT] = LedgerEntry(
            standing=standing,
            noted_at=now,
        )
        self._entries[key] = entry
        self._entries.move_to_end(key)
        self._expire(now)
        return entry

    def _expire(self, now: float) -> None:
        while self._entries:
            oldest = next(iter(self._entries.values()))
            is_old = now - oldest.noted_at > _MEMORY_S
            if not is_old and len(self._entries) <= _CAPACITY:
                return
            self._entries.popitem(last=False)
