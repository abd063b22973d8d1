"""Refuse quarantined requests and those over a concurrency share."""

from goldcrestwharf.hops._messages import HopRefusal
from goldcrestwharf.hops._plan import Plan
from goldcrestwharf.limits import (
    CallerShares,
    Refusal,
    RefusalReason,
    ShareKey,
)
from goldcrestwharf.quarantine import CrashGuard


class Admission:
    """Admission control of the requests that callers send to this daemon.

    A request is refused if its fingerprint is quarantined, or if its caller
    or its service already uses its whole share of the requests in flight.
    """

    def __init__(self, *, shares: CallerShares, guard: CrashGuard) -> None:
        """Check ``guard`` first, then ``shares``."""
        self._shares = shares
        self._guard = guard

    def enter(self, plan: Plan) -> HopRefusal | None:
        """Admit the request or return why it is refused.

        Each admitted request has to be followed by one :meth:`leave`.
        """
        refusal = find_quarantine(self._guard, plan.fingerprint)
        if refusal is None:
            refusal = self._shares.acquire(_make_share_key(plan))
        return None if refusal is None else _to_hop_refusal(refusal)

    def leave(self, plan: Plan) -> None:
        """Release the share of an admitted request."""
        self._shares.release(_make_share_key(plan))


def find_quarantine(guard: CrashGuard, fingerprint: str) -> Refusal | None:
    """Return the refusal of a request that is quarantined."""
    return _make_refusal(guard.find_wait(fingerprint))


def admit_to_target(guard: CrashGuard, fingerprint: str) -> Refusal | None:
    """Return the refusal of a request that the local target may not run.

    A request that may run after its quarantine is refused elsewhere until its
    outcome is known.
    """
    refusal = _make_refusal(guard.find_trial_wait(fingerprint))
    if refusal is None:
        guard.begin_trial(fingerprint)
    return refusal


def _make_refusal(wait: float) -> Refusal | None:
    if not wait:
        return None
    return Refusal(reason=RefusalReason.KILLS_TARGETS, retry_after=wait)


def _make_share_key(plan: Plan) -> ShareKey:
    return ShareKey(caller=plan.req.caller, service=plan.match.service_name)


def _to_hop_refusal(refusal: Refusal) -> HopRefusal:
    return HopRefusal(reason=refusal.reason, retry_after=refusal.retry_after)
