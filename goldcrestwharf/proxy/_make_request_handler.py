"""Construction of the component that answers callers."""

from goldcrestwharf.placement import Placement, RequestClassStats
from goldcrestwharf.proxy._core import Core
from goldcrestwharf.proxy._fleet import Fleet
from goldcrestwharf.proxy._make_planner import make_planner
from goldcrestwharf.proxy._request_handler import (
    RequestHandler,
    RequestHandlerContext,
)
from goldcrestwharf.proxy._retry_policy import RetryPolicy
from goldcrestwharf.proxy._target_selector import TargetSelector


def make_request_handler(core: Core, fleet: Fleet) -> RequestHandler:
    """Create the component that answers callers."""
    retry_policy = RetryPolicy(
        terms=core.cfg.budget,
        clock=core.clock,
        count_members=lambda: core.directory.max_known,
    )
    selector = TargetSelector(
        fleet=fleet,
        placement=Placement(rng=core.rng),
        request_classes=RequestClassStats(),
        shutdown=core.shutdown,
        longest_times=core.longest_times,
        crash_exchange=core.crash_exchange,
        departures=core.departures,
        versions=core.rollouts.share,
        clock=core.clock,
    )
    return RequestHandler(
        context=RequestHandlerContext(
            planner=make_planner(core),
            selector=selector,
            fleet=fleet,
            retry_policy=retry_policy,
            quota_gate=core.quotas.gate,
            timeouts=core.answer_timeouts,
            clock=core.clock,
            draw=core.rng.random,
        ),
    )
