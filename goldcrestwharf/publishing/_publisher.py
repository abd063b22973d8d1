"""Publish complete sets to the platform's log."""

import logging
import random

import anyio

from goldcrestwharf.errors import PlatformUnavailableError
from goldcrestwharf.log import MAX_RECORD_BYTES, Log
from goldcrestwharf.publishing._build_records import (
    build_epoch_start,
    build_publish,
)
from goldcrestwharf.publishing._evaluation import (
    evaluate_epoch_proposal,
    evaluate_proposal,
)
from goldcrestwharf.publishing._outcome_waiter import (
    OutcomeWaiter,
    PendingRecord,
)
from goldcrestwharf.publishing._outcomes import Outcome, Refused
from goldcrestwharf.publishing._proposal import Proposal
from goldcrestwharf.publishing._reader import LogReader
from goldcrestwharf.publishing._settings import PublishingSettings
from goldcrestwharf.replay import (
    CONFIG_STREAM,
    EpochStart,
    Publish,
    Replica,
    SnapshotHolder,
    pack_record,
)
from goldcrestwharf.timers import Timers

_log = logging.getLogger(__name__)


class Publisher:
    """The client that appends changes to the log and reads their outcome."""

    def __init__(
        self,
        *,
        log: Log,
        timers: Timers,
        rng: random.Random,
        cfg: PublishingSettings,
        holder: SnapshotHolder | None = None,
    ) -> None:
        """Publish to ``log``; a daemon passes its ``holder`` as well."""
        self._log = log
        self._reader = LogReader(
            log=log,
            holder=holder,
            page_records=cfg.page_records,
        )
        self._outcome_waiter = OutcomeWaiter(
            reader=self._reader,
            timers=timers,
            rng=rng,
            cfg=cfg,
        )
        self._lock = anyio.Lock()

    async def publish(self, proposal: Proposal) -> Outcome:
        """Publish a complete set and return the outcome.

        Raises :class:`PlatformUnavailableError` if nothing was appended.
        """
        async with self._lock:
            replica = await self._reader.catch_up()
            outcome = evaluate_proposal(replica, proposal)
            if outcome is None:
                record = build_publish(replica, proposal)
                outcome = await self._append(replica, record)
        _log.info('publish.settled id=%s outcome=%s', proposal.id, outcome)
        return outcome

    async def read(self) -> Replica:
        """Return a replica that has read the log to its end."""
        async with self._lock:
            return await self._reader.catch_up()

    async def start_epoch(self, proposal: Proposal, epoch: int) -> Outcome:
        """Start an epoch with a complete set and return the outcome.

        For operators, after the platform's log was replaced or when it
        retains no record to start replay from. Raises
        :class:`PlatformUnavailableError` if nothing was appended.
        """
        async with self._lock:
            replica = await self._reader.catch_up()
            outcome = evaluate_epoch_proposal(replica, proposal, epoch)
            if outcome is None:
                record = build_epoch_start(replica, proposal, epoch)
                outcome = await self._append(replica, record)
        _log.info('publish.settled id=%s outcome=%s', proposal.id, outcome)
        return outcome

    async def _append(
        self,
        replica: Replica,
        record: Publish | EpochStart,
    ) -> Outcome:
        body = pack_record(record)
        if len(body) > MAX_RECORD_BYTES:
            return Refused(problems=(_oversize_problem(len(body)),))
        current = replica.snapshot
        pending = PendingRecord(
            id=record.id,
            base=None if current is None else current.version,
            log_end=replica.end_offset,
            offset=await self._append_once(body),
        )
        return await self._outcome_waiter.wait_for_outcome(pending)

    async def _append_once(self, body: bytes) -> int | None:
        try:
            return await self._log.append(CONFIG_STREAM, [body])
        except PlatformUnavailableError as exc:
            if not exc.is_effect_unknown:
                raise
            _log.warning('publish.answer_lost reason=%s', exc)
        return None


def _oversize_problem(size: int) -> str:
    return (
        f'the change takes {size} of at most {MAX_RECORD_BYTES} bytes; '
        'publish it in several steps'
    )
