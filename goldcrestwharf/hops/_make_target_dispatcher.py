"""Build the dispatcher that serves the targets of this VM."""

import attrs

from goldcrestwharf.hops._context import HopsContext
from goldcrestwharf.hops._crash_detector import CrashDetector
from goldcrestwharf.hops._messages import HopOutcome, HopRequest
from goldcrestwharf.hops._slot_gates import SlotGates
from goldcrestwharf.hops._target_dispatcher import TargetDispatcher
from goldcrestwharf.hops._target_run import TargetRuns
from goldcrestwharf.peers import Handlers, PeerConn


def make_target_dispatcher(context: HopsContext) -> TargetDispatcher:
    """Return the dispatcher for the targets of this VM."""
    return TargetDispatcher(
        view=context.view,
        runs=TargetRuns(
            gates=SlotGates(holder=context.holder, timers=context.timers),
            client=context.client,
            crash_detector=CrashDetector(
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


def register_hops(
    handlers: Handlers, target_dispatcher: TargetDispatcher
) -> None:
    """Handle requests from peers with ``target_dispatcher``."""
    answerer = _PeerAnswerer(target_dispatcher=target_dispatcher)
    handlers.on(HopRequest)(answerer.answer)


@attrs.frozen(kw_only=True)
class _PeerAnswerer:
    """Message handler for requests from peers."""

    target_dispatcher: TargetDispatcher

    async def answer(self, req: HopRequest, _conn: PeerConn) -> HopOutcome:
        """Run ``req`` on its target unless it is refused."""
        return await self.target_dispatcher.answer(req)
