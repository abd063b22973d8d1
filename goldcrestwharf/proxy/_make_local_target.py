"""Construction of the component that runs requests on the local target."""

from goldcrestwharf.proxy._core import Core
from goldcrestwharf.proxy._crash_detector import CrashDetector
from goldcrestwharf.proxy._local_target import LocalTarget, LocalTargetContext
from goldcrestwharf.proxy._target_pool import TargetPool


def make_local_target(core: Core) -> LocalTarget:
    """Create the component that runs requests on the local target."""
    pool = TargetPool(address=core.cfg.target, clock=core.clock)
    return LocalTarget(
        context=LocalTargetContext(
            instance_tracker=core.instance_tracker,
            pool=pool,
            shutdown=core.shutdown,
            crash_detector=CrashDetector(
                instance_tracker=core.instance_tracker,
                pool=pool,
                exchange=core.crash_exchange,
                clock=core.clock,
            ),
            names=core.cfg.names,
            drain_timeout=core.cfg.drain_timeout,
            clock=core.clock,
        ),
    )
