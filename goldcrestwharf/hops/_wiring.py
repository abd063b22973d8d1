"""Join the parts of the hops for a daemon."""

from goldcrestwharf.hops._messages import HopOutcome, HopRequest
from goldcrestwharf.hops._target_side import TargetSide
from goldcrestwharf.peers import Handlers, PeerConn


def register_hops(handlers: Handlers, target_side: TargetSide) -> None:
    """Answer requests from peers with the targets of ``target_side``."""

    @handlers.on(HopRequest)
    async def factory(req: HopRequest, _conn: PeerConn) -> HopOutcome:
        return await target_side.answer(req)
