"""Tracking of attempts at the local target, to log cancelled ones."""

import asyncio
from collections.abc import Callable
from types import TracebackType

import attrs

from goldcrestwharf.loglines import EventLog
from goldcrestwharf.placement import LoadReport
from goldcrestwharf.proxy._attempt import Attempt

_log = EventLog(__name__)

_MS_PER_S = 1000


@attrs.define(kw_only=True)
class AttemptTracker:
    """Duration of an attempt; ``phase`` is ``queue`` or ``run``."""

    attempt: Attempt
    report: Callable[[], LoadReport]
    clock: Callable[[], float]
    phase: str = 'queue'
    _began_at: float = attrs.field(default=0, init=False)

    def __enter__(self) -> 'AttemptTracker':
        """Start the timer."""
        self._began_at = self.clock()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Log the attempt if it was cancelled."""
        if exc_type is None or not issubclass(
            exc_type,
            asyncio.CancelledError,
        ):
            return
        report = self.report()
        _log.note(
            'order.abandoned',
            request=self.attempt.request_id,
            route=self.attempt.request_class,
            phase=self.phase,
            age_ms=round(self.age * _MS_PER_S),
            left_ms=round((self.attempt.left - self.age) * _MS_PER_S),
            busy=report.busy,
            slots=report.slots,
            hold_ms=round(report.service_time * _MS_PER_S),
        )

    @property
    def age(self) -> float:
        """Return the time since the start, in seconds."""
        return self.clock() - self._began_at
