"""Learn from the log what became of an appended record."""

import random

import attrs

from goldcrestwharf.errors import PlatformUnavailableError
from goldcrestwharf.publishing._losses import describe_loss
from goldcrestwharf.publishing._outcomes import (
    Outcome,
    OutcomeUnknown,
    Published,
    Refused,
)
from goldcrestwharf.publishing._reader import LogReader
from goldcrestwharf.publishing._settings import PublishingSettings
from goldcrestwharf.replay import Decision, RefusalReason, Replica, Version
from goldcrestwharf.timers import Backoff, Timers

_MS_PER_S = 1000


@attrs.frozen(kw_only=True)
class Pending:
    """Name a record that was appended.

    ``began`` is the end of the log before the append, ``offset`` where the
    record stands, ``None`` if the answer was lost.
    """

    id: str
    base: Version | None
    began: int
    offset: int | None


@attrs.frozen(kw_only=True)
class Settlement:
    """Read the log on until the outcome of a record is certain."""

    reader: LogReader
    timers: Timers
    rng: random.Random
    cfg: PublishingSettings

    async def settle(self, pending: Pending) -> Outcome:
        """Return the outcome of ``pending``, never appending anything."""
        outcome: Outcome | None = None
        with self.timers.limit(self.cfg.settle_ms / _MS_PER_S):
            outcome = await self._read_until_certain(pending)
        return outcome or OutcomeUnknown(
            id=pending.id,
            base=pending.base,
            reason='the log did not show the publish in time',
        )

    async def _read_until_certain(self, pending: Pending) -> Outcome:
        backoff = Backoff(
            base=self.cfg.backoff_base_ms / _MS_PER_S,
            cap=self.cfg.backoff_cap_ms / _MS_PER_S,
            rng=self.rng,
        )
        outcome = find_outcome(self.reader.replica, pending)
        while outcome is None:
            try:
                await self.reader.read_on(wait=self.cfg.settle_ms / _MS_PER_S)
            except PlatformUnavailableError:
                wait = backoff.record_failure(self.timers.now())
                await self.timers.sleep(wait)
            outcome = find_outcome(self.reader.replica, pending)
        return outcome


def find_outcome(replica: Replica, pending: Pending) -> Outcome | None:
    """Return what became of ``pending``, ``None`` while it is uncertain."""
    decision = replica.journal.find(pending.id, since=pending.began)
    if decision is not None:
        return _read_decision(replica, decision)
    if replica.halt_reason:
        return OutcomeUnknown(
            id=pending.id,
            base=pending.base,
            reason=replica.halt_reason,
        )
    if pending.offset is not None and replica.cursor.position > pending.offset:
        reason = 'the log damaged the record; publish the set again'
        return Refused(problems=(reason,))
    snapshot = replica.snapshot
    if snapshot is not None and snapshot.version != pending.base:
        # The base can't come into force again, so that the record, even if
        # it still arrives, can't be accepted any more.
        return describe_loss(replica, pending.base)
    return None


def _read_decision(replica: Replica, decision: Decision) -> Outcome:
    if decision.version is not None:
        return Published(id=decision.id, version=decision.version)
    refusal = decision.refusal
    if refusal is None or refusal.reason is RefusalReason.SUPERSEDED:
        return describe_loss(replica, decision.base)
    return Refused(problems=refusal.details)
