"""Publish complete sets to the platform's log."""

import logging
import random

import anyio

from goldcrestwharf.errors import PlatformUnavailableError
from goldcrestwharf.objects import (
    RULES_REVISION,
    ObjectSet,
    diff,
    digest_of,
    encode_delta,
)
from goldcrestwharf.platform import MAX_RECORD_BYTES, Log
from goldcrestwharf.publishing._judgement import judge_proposal
from goldcrestwharf.publishing._outcomes import Outcome, Refused
from goldcrestwharf.publishing._proposal import Proposal
from goldcrestwharf.publishing._reader import LogReader
from goldcrestwharf.publishing._settings import PublishingSettings
from goldcrestwharf.publishing._settlement import Pending, Settlement
from goldcrestwharf.replay import (
    CONFIG_STREAM,
    Holder,
    Publish,
    Replica,
    pack_record,
)
from goldcrestwharf.timers import Timers

_log = logging.getLogger(__name__)


class Publisher:
    """Append changes to the log and learn there what became of them."""

    def __init__(
        self,
        *,
        log: Log,
        timers: Timers,
        rng: random.Random,
        cfg: PublishingSettings,
        holder: Holder | None = None,
    ) -> None:
        """Publish to ``log``; a daemon gives its ``holder`` as well."""
        self._log = log
        self._reader = LogReader(
            log=log,
            holder=holder,
            page_records=cfg.page_records,
        )
        self._settlement = Settlement(
            reader=self._reader,
            timers=timers,
            rng=rng,
            cfg=cfg,
        )
        self._lock = anyio.Lock()

    async def publish(self, proposal: Proposal) -> Outcome:
        """Publish a complete set and return what became of it.

        Raises :class:`PlatformUnavailableError` if nothing was appended.
        """
        async with self._lock:
            replica = await self._reader.catch_up()
            outcome = judge_proposal(replica, proposal)
            if outcome is None:
                outcome = await self._append(replica, proposal)
        _log.info('publish.settled id=%s outcome=%s', proposal.id, outcome)
        return outcome

    async def read(self) -> Replica:
        """Return a replica that has read the log to its end."""
        async with self._lock:
            return await self._reader.catch_up()

    async def _append(self, replica: Replica, proposal: Proposal) -> Outcome:
        publish = make_publish(replica, proposal)
        body = pack_record(publish)
        if len(body) > MAX_RECORD_BYTES:
            return Refused(problems=(_describe_size(len(body)),))
        pending = Pending(
            id=publish.id,
            base=publish.base,
            began=replica.cursor.position,
            offset=await self._append_once(body),
        )
        return await self._settlement.settle(pending)

    async def _append_once(self, body: bytes) -> int | None:
        try:
            return await self._log.append(CONFIG_STREAM, [body])
        except PlatformUnavailableError as exc:
            if not exc.is_effect_unknown:
                raise
            _log.warning('publish.answer_lost reason=%s', exc)
        return None


def make_publish(replica: Replica, proposal: Proposal) -> Publish:
    """Return the record that changes the version in force as proposed."""
    current = replica.snapshot
    before = ObjectSet() if current is None else current.objects
    return Publish(
        id=proposal.id,
        base=None if current is None else current.version,
        rules=RULES_REVISION,
        delta=encode_delta(diff(before, proposal.objects)),
        digest=digest_of(proposal.objects),
        origin=proposal.origin,
    )


def _describe_size(size: int) -> str:
    return (
        f'the change takes {size} of at most {MAX_RECORD_BYTES} bytes; '
        'publish it in several steps'
    )
