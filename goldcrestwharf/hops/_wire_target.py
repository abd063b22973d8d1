"""Join the parts of the target side."""

import attrs

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
    answerer = _PeerAnswerer(target_side=target_side)
    handlers.on(HopRequest)(answerer.answer)


@attrs.frozen(kw_only=True)
class _PeerAnswerer:
    """Answer other daemons with the targets of this VM."""

    target_side: TargetSide

    async def answer(self, req: HopRequest, _conn: PeerConn) -> HopOutcome:
        """Run ``req`` on its target unless it is refused."""
        return await self.target_side.answer(req)
