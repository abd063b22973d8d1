"""Follow the claims of this daemon until the log has decided them."""

import enum
from collections import OrderedDict

import anyio

from goldcrestwharf.limits._claim_records import ClaimRecord

_MAX_ABANDONED = 10_000


class ClaimVerdict(enum.Enum):
    """Tell what became of a claim; ``FAILED`` was certainly not appended."""

    WON = enum.auto()
    LOST = enum.auto()
    FAILED = enum.auto()


class PendingClaim:
    """Wait for the verdict on one claim.

    ``has_woken`` tells that the waiting task goes on, with whatever
    verdict there is by then.
    """

    def __init__(self, *, record: ClaimRecord) -> None:
        """Wait for ``record`` to be read back."""
        self.record = record
        self.verdict: ClaimVerdict | None = None
        self.has_woken = False
        self._settled = anyio.Event()

    def settle(self, verdict: ClaimVerdict) -> None:
        """Record the verdict and wake the waiting task."""
        self.verdict = verdict
        self._settled.set()

    def fail(self) -> None:
        """Record that the claim was not appended."""
        self.settle(ClaimVerdict.FAILED)

    async def wait(self) -> None:
        """Return once there is a verdict."""
        await self._settled.wait()


class PendingClaims:
    """Hold the claims that wait and those that were given up.

    A claim that is given up may still win later, when its append was
    merely slow. Its request is never dispatched, so its key is freed then.
    """

    def __init__(self) -> None:
        """Start without claims."""
        self._waiting: dict[str, PendingClaim] = {}
        self._abandoned: OrderedDict[str, None] = OrderedDict()

    def open(self, record: ClaimRecord) -> PendingClaim:
        """Begin to wait for a claim."""
        pending = PendingClaim(record=record)
        self._waiting[record.claim_id] = pending
        return pending

    def close(self, pending: PendingClaim) -> bool:
        """End the wait; tell whether a claim that won has to be freed."""
        claim_id = pending.record.claim_id
        self._waiting.pop(claim_id)
        if pending.verdict is None:
            self._abandoned[claim_id] = None
            if len(self._abandoned) > _MAX_ABANDONED:
                self._abandoned.popitem(last=False)
        is_won = pending.verdict is ClaimVerdict.WON
        return is_won and not pending.has_woken

    def note_read(self, claim_id: str, *, has_won: bool) -> bool:
        """Settle a claim that was read; tell whether it has to be freed."""
        pending = self._waiting.get(claim_id)
        if pending is not None:
            won = ClaimVerdict.WON if has_won else ClaimVerdict.LOST
            pending.settle(won)
            return False
        is_abandoned = claim_id in self._abandoned
        self._abandoned.pop(claim_id, None)
        return is_abandoned and has_won
