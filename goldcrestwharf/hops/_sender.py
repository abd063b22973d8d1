"""Send one try of a request to the daemon on the target's VM."""

from goldcrestwharf.errors import NotSentError, PeerError
from goldcrestwharf.hops import _headers
from goldcrestwharf.hops._messages import (
    HopAnswer,
    HopOutcome,
    HopRefusal,
    HopRequest,
    HopUnknown,
    RefusalReason,
    UnknownReason,
)
from goldcrestwharf.hops._plan import Plan
from goldcrestwharf.hops._target_side import TargetSide
from goldcrestwharf.membership import MembershipView
from goldcrestwharf.peers import Peers
from goldcrestwharf.routing import Candidate
from goldcrestwharf.timers import Timers

_MS_PER_S = 1000


class Sender:
    """Reach targets through the daemons on their VMs.

    A target on this daemon's own VM is reached without a stream.
    """

    def __init__(
        self,
        *,
        view: MembershipView,
        peers: Peers,
        target_side: TargetSide,
        timers: Timers,
    ) -> None:
        """Use ``target_side`` for this VM and ``peers`` for the others."""
        self._view = view
        self._peers = peers
        self._target_side = target_side
        self._timers = timers

    async def send(self, plan: Plan, candidate: Candidate) -> HopOutcome:
        """Return what came of the request on the candidate's target."""
        remaining = plan.deadline.remaining(self._timers.now())
        hop_request = _make_hop_request(plan, candidate, remaining)
        if candidate.member.vm == self._view.own().vm:
            return await self._target_side.answer(hop_request)
        try:
            reply = await self._peers.call(
                candidate.member.address,
                hop_request,
                timeout=remaining,
            )
        except NotSentError:
            return HopRefusal(reason=RefusalReason.NOT_SENT)
        except PeerError:
            return self._settle_lost(plan)
        return _check_reply(reply)

    def _settle_lost(self, plan: Plan) -> HopUnknown:
        if plan.deadline.remaining(self._timers.now()) > 0:
            return HopUnknown(reason=UnknownReason.PEER_LOST)
        return HopUnknown(reason=UnknownReason.TIMEOUT)


def _make_hop_request(
    plan: Plan,
    candidate: Candidate,
    remaining: float,
) -> HopRequest:
    req = plan.req
    return HopRequest(
        target=candidate.target.name,
        group=candidate.target.group,
        service=plan.match.service_name,
        route=plan.match.route_name,
        method=req.method.encode(),
        path=req.target,
        headers=_headers.pass_on(req.headers),
        body=req.body,
        remaining_ms=remaining * _MS_PER_S,
        is_repeatable=plan.match.is_repeatable,
        attempt=plan.attempt,
    )


def _check_reply(reply: object) -> HopOutcome:
    if isinstance(reply, HopAnswer | HopRefusal | HopUnknown):
        return reply
    return HopUnknown(reason=UnknownReason.ANSWER_BROKEN)
