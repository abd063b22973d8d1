"""Join the parts of the target side."""

from goldcrestwharf.hops._context import HopsContext
from goldcrestwharf.hops._death_watch import DeathWatch
from goldcrestwharf.hops._gates import Gates
from goldcrestwharf.hops._messages import HopOutcome, HopRequest
from goldcrestwharf.hops._target_run import TargetRuns
from goldcrestwharf.hops._target_side import TargetSide
from goldcrestwharf.peers import Handlers, PeerConn


def make_target_side(context: HopsContext) -> TargetSide:
    """Return what runs requests on the targets of this VM."""
    return TargetSide(
        view=context.view,
        runs=TargetRuns(
            gates=Gates(holder=context.holder, timers=context.timers),
            client=context.client,
            deaths=DeathWatch(
                client=context.client,
                guard=context.guard,
                tg=context.tg,
                timers=context.timers,
            ),
            timers=context.timers,
        ),
        guard=context.guard,
        timers=context.timers,
    )


def register_hops(handlers: Handlers, target_side: TargetSide) -> None:
    """Answer requests from peers with the targets of ``target_side``."""

    @handlers.on(HopRequest)
    async def factory(req: HopRequest, _conn: PeerConn) -> HopOutcome:
        return await target_side.answer(req)
