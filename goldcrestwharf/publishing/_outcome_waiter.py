"""Determine the outcome of an appended record from the log."""

import random

import attrs

from goldcrestwharf.errors import PlatformUnavailableError
from goldcrestwharf.publishing._outcomes import (
    Outcome,
    OutcomeUnknown,
    Published,
    Refused,
)
from goldcrestwharf.publishing._reader import LogReader
from goldcrestwharf.publishing._settings import PublishingSettings
from goldcrestwharf.publishing._superseded import describe_superseded
from goldcrestwharf.replay import Decision, RefusalReason, Replica, Version
from goldcrestwharf.timers import Backoff, Timers

_MS_PER_S = 1000


@attrs.frozen(kw_only=True)
class PendingRecord:
    """An appended record whose outcome is not known yet.

    ``log_end`` is the end offset of the log before the append, ``offset``
    that of the record, ``None`` if the answer was lost.
    """

    id: str
    base: Version | None
    log_end: int
    offset: int | None


@attrs.frozen(kw_only=True)
class OutcomeWaiter:
    """A reader of the log that waits until a record's outcome is certain."""

    reader: LogReader
    timers: Timers
    rng: random.Random
    cfg: PublishingSettings

    async def wait_for_outcome(self, pending: PendingRecord) -> Outcome:
        """Return the outcome of ``pending``; append nothing."""
        outcome: Outcome | None = None
        with self.timers.limit(self.cfg.settle_ms / _MS_PER_S):
            outcome = await self._read_until_certain(pending)
        return outcome or OutcomeUnknown(
            id=pending.id,
            base=pending.base,
            reason='the log did not show the outcome in time',
        )

    async def _read_until_certain(self, pending: PendingRecord) -> Outcome:
        backoff = Backoff(
            base=self.cfg.backoff_base_ms / _MS_PER_S,
            cap=self.cfg.backoff_cap_ms / _MS_PER_S,
            rng=self.rng,
        )
        outcome = find_outcome(self.reader.replica, pending)
        while outcome is None:
            try:
                await self.reader.read_next_page(
                    wait=self.cfg.settle_ms / _MS_PER_S
                )
            except PlatformUnavailableError:
                wait = backoff.note_failure(self.timers.now())
                await self.timers.sleep(wait)
            outcome = find_outcome(self.reader.replica, pending)
        return outcome


def find_outcome(replica: Replica, pending: PendingRecord) -> Outcome | None:
    """Return the outcome of ``pending``, ``None`` while it is uncertain."""
    decision = replica.journal.find(pending.id, since=pending.log_end)
    if decision is not None:
        return _read_decision(replica, decision)
    if replica.halt_reason:
        return OutcomeUnknown(
            id=pending.id,
            base=pending.base,
            reason=replica.halt_reason,
        )
    if pending.offset is not None and replica.cursor.position > pending.offset:
        reason = 'the log corrupted the record; publish the set again'
        return Refused(problems=(reason,))
    snapshot = replica.snapshot
    if snapshot is not None and snapshot.version != pending.base:
        # The base version can't become active again, so that the record
        # can't be accepted any more, even if it still arrives.
        return describe_superseded(replica, pending.base)
    return None


def _read_decision(replica: Replica, decision: Decision) -> Outcome:
    if decision.version is not None:
        return Published(id=decision.id, version=decision.version)
    refusal = decision.refusal
    if refusal is None or refusal.reason is RefusalReason.SUPERSEDED:
        return describe_superseded(replica, decision.base)
    return Refused(problems=refusal.details)
