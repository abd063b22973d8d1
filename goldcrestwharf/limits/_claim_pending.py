"""Claims of the local daemon that wait for the log to decide them."""

import enum
from collections import OrderedDict

import anyio

from goldcrestwharf.limits._claim_records import ClaimRecord

_MAX_ABANDONED_CLAIMS = 10_000


class ClaimOutcome(enum.Enum):
    """Outcome of a claim; a ``FAILED`` one was certainly not appended."""

    WON = enum.auto()
    LOST = enum.auto()
    FAILED = enum.auto()


class PendingClaim:
    """A claim whose outcome a task waits for.

    ``has_resumed`` is set once the waiting task has resumed, with or
    without an outcome; later outcomes don't reach it.
    """

    def __init__(self, *, record: ClaimRecord) -> None:
        """Create a claim that waits for ``record`` to be read back."""
        self.record = record
        self.outcome: ClaimOutcome | None = None
        self.has_resumed = False
        self._settled = anyio.Event()

    def settle(self, outcome: ClaimOutcome) -> None:
        """Set the outcome and wake the waiting task."""
        self.outcome = outcome
        self._settled.set()

    def fail(self) -> None:
        """Settle the claim as not appended."""
        self.settle(ClaimOutcome.FAILED)

    async def wait(self) -> None:
        """Wait until the claim has an outcome."""
        await self._settled.wait()


class PendingClaims:
    """Claims that a task waits for, and abandoned ones.

    An abandoned claim may still win later if its append was only slow. Its
    request is never dispatched, so the key is released when that happens.
    """

    def __init__(self) -> None:
        """Start with no claims."""
        self._waiting: dict[str, PendingClaim] = {}
        self._abandoned: OrderedDict[str, None] = OrderedDict()

    def open(self, record: ClaimRecord) -> PendingClaim:
        """Add a claim to wait for."""
        pending = PendingClaim(record=record)
        self._waiting[record.claim_id] = pending
        return pending

    def close(self, pending: PendingClaim) -> bool:
        """Stop waiting; return whether the key must be released."""
        claim_id = pending.record.claim_id
        self._waiting.pop(claim_id)
        if pending.outcome is None:
            self._abandoned[claim_id] = None
            if len(self._abandoned) > _MAX_ABANDONED_CLAIMS:
                self._abandoned.popitem(last=False)
        is_won = pending.outcome is ClaimOutcome.WON
        return is_won and not pending.has_resumed

    def settle_read(self, claim_id: str, *, has_won: bool) -> bool:
        """Settle a claim that was read; return whether to release its key."""
        pending = self._waiting.get(claim_id)
        if pending is not None:
            outcome = ClaimOutcome.WON if has_won else ClaimOutcome.LOST
            pending.settle(outcome)
            return False
        is_abandoned = claim_id in self._abandoned
        self._abandoned.pop(claim_id, None)
        return is_abandoned and has_won
