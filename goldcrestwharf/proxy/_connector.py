"""Connect to the own target, and notice when it is down."""

from collections.abc import Callable

from goldcrestwharf.admission import (
    Refusal,
    RefusalReason,
    SlotScheduler,
    TargetHealth,
)
from goldcrestwharf.http1 import ClientConn
from goldcrestwharf.loglines import EventLog
from goldcrestwharf.proxy._slot_queue import OrderRun
from goldcrestwharf.proxy._target_pool import TargetPool

_log = EventLog(__name__)


class Connector:
    """Hand out connections; refuse all that wait once there are none."""

    def __init__(
        self,
        *,
        pool: TargetPool,
        health: TargetHealth,
        scheduler: SlotScheduler,
        clock: Callable[[], float],
    ) -> None:
        """Take connections from ``pool``."""
        self._pool = pool
        self._health = health
        self._scheduler = scheduler
        self._clock = clock

    async def connect(self, run: OrderRun) -> ClientConn | Refusal:
        """Return a connection, or the refusal of a target that is down."""
        try:
            conn = await self._pool.take(
                is_repeatable=run.order.is_repeatable,
            )
        except OSError as exc:
            return self._refuse(exc)
        self._health.record_connected()
        return conn

    def _refuse(self, exc: OSError) -> Refusal:
        refusal = Refusal(reason=RefusalReason.TARGET_DOWN)
        if self._health.record_unreachable(self._clock()):
            _log.warn('target.unreachable', cause=repr(exc))
            self._scheduler.refuse_all(refusal)
        return refusal
