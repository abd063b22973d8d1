"""Follow an order at the own target, and log one that is given up."""

import asyncio
from collections.abc import Callable
from types import TracebackType

import attrs

from goldcrestwharf.loglines import EventLog
from goldcrestwharf.placement import LoadReport
from goldcrestwharf.proxy._order import RunOrder

_log = EventLog(__name__)

_MS_PER_S = 1000


@attrs.define(kw_only=True)
class OrderStay:
    """Enclose the time of an order; ``phase`` is ``queue`` or ``run``."""

    order: RunOrder
    report: Callable[[], LoadReport]
    clock: Callable[[], float]
    phase: str = 'queue'
    _began_at: float = attrs.field(default=0, init=False)

    def __enter__(self) -> 'OrderStay':
        """Begin to count."""
        self._began_at = self.clock()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Log an order whose wait was cancelled."""
        if exc_type is None or not issubclass(
            exc_type,
            asyncio.CancelledError,
        ):
            return
        report = self.report()
        _log.note(
            'order.abandoned',
            request=self.order.request_id,
            route=self.order.request_class,
            phase=self.phase,
            age_ms=round(self.age * _MS_PER_S),
            left_ms=round((self.order.left - self.age) * _MS_PER_S),
            busy=report.busy,
            slots=report.slots,
            hold_ms=round(report.service_time * _MS_PER_S),
        )

    @property
    def age(self) -> float:
        """Return how long the order has been here, in seconds."""
        return self.clock() - self._began_at
