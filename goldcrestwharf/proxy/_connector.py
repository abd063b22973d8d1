"""Connections to the local target, and detection that it is down."""

from collections.abc import Callable

from goldcrestwharf.admission import (
    Refusal,
    RefusalReason,
    SlotScheduler,
    TargetHealth,
)
from goldcrestwharf.http1 import ClientConn
from goldcrestwharf.loglines import EventLog
from goldcrestwharf.proxy._crash_detector import CrashDetector
from goldcrestwharf.proxy._slot_queue import AttemptRun
from goldcrestwharf.proxy._target_pool import TargetPool

_log = EventLog(__name__)


class Connector:
    """Connector to the local target; refuses the queue while it is down."""

    def __init__(
        self,
        *,
        pool: TargetPool,
        health: TargetHealth,
        scheduler: SlotScheduler,
        crash_detector: CrashDetector,
        clock: Callable[[], float],
    ) -> None:
        """Take connections from ``pool``."""
        self._pool = pool
        self._health = health
        self._scheduler = scheduler
        self._crash_detector = crash_detector
        self._clock = clock

    async def connect(self, run: AttemptRun) -> ClientConn | Refusal:
        """Return a connection, or a refusal if the target is down."""
        try:
            conn = await self._pool.take(
                is_repeatable=run.attempt.is_repeatable,
            )
        except OSError as exc:
            return self._refuse(exc)
        self._health.record_connected()
        return conn

    def _refuse(self, exc: OSError) -> Refusal:
        refusal = Refusal(reason=RefusalReason.TARGET_DOWN)
        if self._health.record_unreachable(self._clock()):
            _log.warning('target.unreachable', cause=repr(exc))
            self._scheduler.refuse_all(refusal)
            self._crash_detector.report_unreachable()
        return refusal
