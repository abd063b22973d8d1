"""Send an attempt to the daemon on the VM of the target."""

from goldcrestwharf.errors import (
    NotSentError,
    PeerError,
    UnsupportedMessageError,
)
from goldcrestwharf.hops import _headers
from goldcrestwharf.hops._messages import (
    HopAnswer,
    HopOutcome,
    HopReason,
    HopRefusal,
    HopRequest,
    HopUnknown,
    UnknownReason,
)
from goldcrestwharf.hops._plan import Plan
from goldcrestwharf.hops._target_dispatcher import TargetDispatcher
from goldcrestwharf.limits import RefusalReason
from goldcrestwharf.membership import MembershipView
from goldcrestwharf.peers import Peers
from goldcrestwharf.routing import Candidate

_MS_PER_S = 1000

#: The daemon of the target times out this much earlier, so that its outcome,
#: which says whether the request was dispatched, arrives before the deadline.
_RETURN_MARGIN_S = 0.01
_MAX_RETURN_MARGIN_FRACTION = 0.1


class Sender:
    """A sender of attempts to targets through the daemons on their VMs.

    A local target is called directly, without a connection to a peer.
    """

    def __init__(
        self,
        *,
        view: MembershipView,
        peers: Peers,
        target_dispatcher: TargetDispatcher,
    ) -> None:
        """Use ``target_dispatcher`` for local targets, ``peers`` for others."""
        self._view = view
        self._peers = peers
        self._target_dispatcher = target_dispatcher

    async def send(self, plan: Plan, candidate: Candidate) -> HopOutcome:
        """Return the outcome of an attempt at the target of ``candidate``."""
        if plan.deadline.is_expired:
            return HopRefusal(reason=RefusalReason.DEADLINE_SPENT)
        hop_request = _make_hop_request(plan, candidate)
        if candidate.member.vm == self._view.local_member().vm:
            return await self._target_dispatcher.answer(hop_request)
        try:
            reply = await self._peers.call(
                candidate.member.address,
                hop_request,
                timeout=plan.deadline.remaining(),
            )
        except (NotSentError, UnsupportedMessageError):
            return HopRefusal(reason=HopReason.NOT_SENT)
        except PeerError:
            return _make_lost_outcome(plan)
        return _check_reply(reply)


def _make_lost_outcome(plan: Plan) -> HopUnknown:
    if plan.deadline.is_expired:
        return HopUnknown(reason=UnknownReason.TIMEOUT)
    return HopUnknown(reason=UnknownReason.PEER_LOST)


def _make_hop_request(plan: Plan, candidate: Candidate) -> HopRequest:
    req = plan.req
    remaining = plan.deadline.remaining()
    margin = min(_RETURN_MARGIN_S, remaining * _MAX_RETURN_MARGIN_FRACTION)
    return HopRequest(
        target=candidate.target.name,
        group=candidate.target.group,
        service=plan.match.service_name,
        route=plan.match.route_name,
        caller=req.caller,
        method=req.method.encode(),
        path=req.target,
        headers=_headers.find_end_to_end(req.headers),
        body=req.body,
        remaining_ms=(remaining - margin) * _MS_PER_S,
        is_repeatable=plan.match.is_repeatable,
        fingerprint=plan.fingerprint,
        retries=plan.retries,
        traceparent=plan.traceparent,
    )


def _check_reply(reply: object) -> HopOutcome:
    if isinstance(reply, HopAnswer | HopRefusal | HopUnknown):
        return reply
    return HopUnknown(reason=UnknownReason.ANSWER_BROKEN)
