"""Join the parts of the caller's side."""

from goldcrestwharf.hops._admission import Admission
from goldcrestwharf.hops._context import HopsContext
from goldcrestwharf.hops._forwarder import Forwarder
from goldcrestwharf.hops._front import CallerFront
from goldcrestwharf.hops._keyed import KeyedRuns
from goldcrestwharf.hops._planner import Planner
from goldcrestwharf.hops._retries import Retries
from goldcrestwharf.hops._routes import Routes
from goldcrestwharf.hops._sender import Sender
from goldcrestwharf.hops._target_side import TargetSide
from goldcrestwharf.hops._tries import Tries
from goldcrestwharf.limits import CallerShares
from goldcrestwharf.routing import TargetChooser


def make_front(context: HopsContext, target_side: TargetSide) -> CallerFront:
    """Return the ASGI application that callers speak to."""
    tries = _make_tries(context, target_side)
    forwarder = Forwarder(
        planner=Planner(
            routes=Routes(holder=context.holder),
            rng=context.rng,
            timers=context.timers,
            cfg=context.hops,
        ),
        tries=tries,
        keyed=KeyedRuns(
            claims=context.claims,
            tries=tries,
            timers=context.timers,
        ),
        admission=Admission(
            shares=CallerShares(cfg=context.limits),
            guard=context.guard,
        ),
        timers=context.timers,
    )
    return CallerFront(
        forwarder=forwarder,
        timers=context.timers,
        tg=context.tg,
        cfg=context.hops,
    )


def _make_tries(context: HopsContext, target_side: TargetSide) -> Tries:
    return Tries(
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
            target_side=target_side,
        ),
        retries=Retries(timers=context.timers, cfg=context.limits),
        timers=context.timers,
    )
