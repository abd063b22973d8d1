"""Build the frontend that serves callers."""

from goldcrestwharf.hops._admission import Admission
from goldcrestwharf.hops._attempts import AttemptRunner
from goldcrestwharf.hops._context import HopsContext
from goldcrestwharf.hops._forwarder import Forwarder
from goldcrestwharf.hops._frontend import CallerFrontend
from goldcrestwharf.hops._idempotency import IdempotentRunner
from goldcrestwharf.hops._planner import Planner
from goldcrestwharf.hops._retries import RetryLimiter
from goldcrestwharf.hops._route_cache import RouteCache
from goldcrestwharf.hops._sender import Sender
from goldcrestwharf.hops._target_dispatcher import TargetDispatcher
from goldcrestwharf.limits import CallerShares
from goldcrestwharf.routing import TargetChooser


def make_frontend(
    context: HopsContext, target_dispatcher: TargetDispatcher
) -> CallerFrontend:
    """Return the ASGI application that serves callers."""
    attempt_runner = _make_attempt_runner(context, target_dispatcher)
    forwarder = Forwarder(
        planner=Planner(
            routes=RouteCache(holder=context.holder),
            rng=context.rng,
            timers=context.timers,
            cfg=context.hops,
        ),
        attempt_runner=attempt_runner,
        idempotent_runner=IdempotentRunner(
            claims=context.claims,
            attempt_runner=attempt_runner,
            timers=context.timers,
        ),
        admission=Admission(
            shares=CallerShares(cfg=context.limits),
            guard=context.guard,
        ),
        timers=context.timers,
    )
    return CallerFrontend(
        forwarder=forwarder,
        timers=context.timers,
        tg=context.tg,
        cfg=context.hops,
    )


def _make_attempt_runner(
    context: HopsContext, target_dispatcher: TargetDispatcher
) -> AttemptRunner:
    return AttemptRunner(
        chooser=TargetChooser(
            view=context.view,
            zone=context.view.local_member().zone,
            timers=context.timers,
            rng=context.rng,
            cfg=context.routing,
        ),
        sender=Sender(
            view=context.view,
            peers=context.peers,
            target_dispatcher=target_dispatcher,
        ),
        retries=RetryLimiter(timers=context.timers, cfg=context.limits),
        timers=context.timers,
    )
