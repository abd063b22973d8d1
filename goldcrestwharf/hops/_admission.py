"""Refuse at the entry what has no right to run now."""

from goldcrestwharf.hops._messages import HopRefusal
from goldcrestwharf.hops._plan import Plan
from goldcrestwharf.limits import CallerShares, CrashGuard, Refusal, ShareKey


class Admission:
    """Let a request in unless it kills targets or a share is used up."""

    def __init__(self, *, shares: CallerShares, guard: CrashGuard) -> None:
        """Ask ``guard`` first, then ``shares``."""
        self._shares = shares
        self._guard = guard

    def enter(self, plan: Plan) -> HopRefusal | None:
        """Let the request in; each that was is paired with a leave."""
        refusal = self._guard.check(plan.fingerprint)
        if refusal is None:
            refusal = self._shares.acquire(_make_share_key(plan))
        return None if refusal is None else _tell(refusal)

    def leave(self, plan: Plan) -> None:
        """Count a request out that was let in."""
        self._shares.release(_make_share_key(plan))


def _make_share_key(plan: Plan) -> ShareKey:
    return ShareKey(caller=plan.req.caller, service=plan.match.service_name)


def _tell(refusal: Refusal) -> HopRefusal:
    return HopRefusal(reason=refusal.reason, retry_after=refusal.retry_after)
