"""Construction of the component that runs requests on the local target."""

from goldcrestwharf.admission import Refusal, RefusalReason, TargetHealth
from goldcrestwharf.proxy._admission_checks import AdmissionChecks
from goldcrestwharf.proxy._connector import Connector
from goldcrestwharf.proxy._core import Core
from goldcrestwharf.proxy._crash_detector import CrashDetector
from goldcrestwharf.proxy._local_target import LocalTarget
from goldcrestwharf.proxy._local_target_context import LocalTargetContext
from goldcrestwharf.proxy._notice_handler import NoticeHandler
from goldcrestwharf.proxy._slot_limiter import SlotLimiter
from goldcrestwharf.proxy._slot_queue import SlotQueue
from goldcrestwharf.proxy._target_exchange import TargetExchange
from goldcrestwharf.proxy._target_pool import TargetPool


def make_local_target(core: Core) -> LocalTarget:
    """Create the component that runs requests on the local target."""
    pool = TargetPool(address=core.cfg.target, clock=core.clock)
    health = TargetHealth()
    queue = SlotQueue(
        clock=core.clock,
        find_weight=core.holder.find_weight,
        adapts=lambda: core.holder.adapts_to_load,
    )
    crash_detector = CrashDetector(
        instance_tracker=core.instance_tracker,
        pool=pool,
        exchange=core.crash_exchange,
        clock=core.clock,
    )
    notices = NoticeHandler(
        instance_tracker=core.instance_tracker,
        scheduler=queue.scheduler,
    )
    # Attempts that wait for a slot have not run.
    core.answer_timeouts.watch_end(
        lambda: queue.scheduler.refuse_all(
            Refusal(reason=RefusalReason.LEAVING)
        )
    )
    return LocalTarget(
        context=LocalTargetContext(
            instance_tracker=core.instance_tracker,
            pool=pool,
            health=health,
            queue=queue,
            limiter=SlotLimiter(
                scheduler=queue.scheduler,
                holder=core.holder,
                instance_tracker=core.instance_tracker,
                calls=core.target_calls.meter,
                clock=core.clock,
            ),
            checks=_make_checks(core, health),
            connector=Connector(
                pool=pool,
                health=health,
                scheduler=queue.scheduler,
                crash_detector=crash_detector,
                clock=core.clock,
            ),
            exchange=TargetExchange(
                names=core.cfg.names,
                health=health,
                notices=notices,
                responses=core.transfers.responses,
                clock=core.clock,
            ),
            notices=notices,
            crash_detector=crash_detector,
            record_run=core.rollouts.recorder.record,
            clock=core.clock,
        ),
    )


def _make_checks(core: Core, health: TargetHealth) -> AdmissionChecks:
    return AdmissionChecks(
        instance_tracker=core.instance_tracker,
        health=health,
        shutdown=core.shutdown,
        longest_times=core.longest_times,
        drain_timeout=core.cfg.drain_timeout,
        clock=core.clock,
        find_rejected=core.rollouts.table.find_rejected,
        has_room_for_answer=core.transfers.has_room_for_answer,
    )
