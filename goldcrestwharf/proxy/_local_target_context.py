"""Components of the local target."""

from collections.abc import Callable

import attrs

from goldcrestwharf.admission import TargetHealth
from goldcrestwharf.discovery import InstanceTracker
from goldcrestwharf.proxy._admission_checks import AdmissionChecks
from goldcrestwharf.proxy._attempt import Attempt
from goldcrestwharf.proxy._connector import Connector
from goldcrestwharf.proxy._crash_detector import CrashDetector
from goldcrestwharf.proxy._notice_handler import NoticeHandler
from goldcrestwharf.proxy._outcomes import Outcome
from goldcrestwharf.proxy._slot_limiter import SlotLimiter
from goldcrestwharf.proxy._slot_queue import SlotQueue
from goldcrestwharf.proxy._target_exchange import TargetExchange
from goldcrestwharf.proxy._target_pool import TargetPool


@attrs.frozen(kw_only=True)
class LocalTargetContext:
    """Components of the local target.

    ``record_run`` is called with each attempt that had a slot, its outcome
    (``None`` if it was cancelled) and the time at which it got the slot.
    """

    instance_tracker: InstanceTracker
    pool: TargetPool
    health: TargetHealth
    queue: SlotQueue
    limiter: SlotLimiter
    checks: AdmissionChecks
    connector: Connector
    exchange: TargetExchange
    notices: NoticeHandler
    crash_detector: CrashDetector
    record_run: Callable[[Attempt, Outcome | None, float], None]
    clock: Callable[[], float]
