"""Let the platform's log decide who holds an idempotency key."""

import anyio

from goldcrestwharf.limits._claim_index import ClaimEntry, ClaimIndex
from goldcrestwharf.limits._claim_pending import (
    ClaimVerdict,
    PendingClaim,
    PendingClaims,
)
from goldcrestwharf.limits._claim_reader import ClaimReader
from goldcrestwharf.limits._claim_records import (
    ClaimEndRecord,
    ClaimRecord,
    free,
)
from goldcrestwharf.limits._claim_writer import ClaimWriter, Draft
from goldcrestwharf.limits._settings import LimitSettings
from goldcrestwharf.log import Log
from goldcrestwharf.timers import Timers
from goldcrestwharf.wire import encode

_MS_PER_SECOND = 1000


class ClaimLog:
    """Append claims and learn by reading them back which of them hold."""

    def __init__(self, *, log: Log, cfg: LimitSettings, timers: Timers) -> None:
        """Keep the claims on ``log``."""
        self.reader = ClaimReader(
            log=log,
            cfg=cfg,
            timers=timers,
            on_record=self._on_record,
        )
        self._writer = ClaimWriter(log=log, cfg=cfg, timers=timers)
        self._index = ClaimIndex(capacity=cfg.claim_index_size)
        self._pending = PendingClaims()
        self._cfg = cfg
        self._timers = timers

    async def run(self) -> None:
        """Follow the stream and append to it until cancelled."""
        async with anyio.create_task_group() as tg:
            tg.start_soon(self.reader.run)
            tg.start_soon(self._writer.run)

    @property
    def is_ready(self) -> bool:
        """Tell whether claims can be decided now."""
        if not self.reader.is_current or self._writer.is_full:
            return False
        return self._index.is_complete(self.reader.first_offset)

    def find(self, key: str) -> ClaimEntry | None:
        """Return who holds ``key``, ``None`` if it is free."""
        return self._index.find(key)

    async def compete(self, record: ClaimRecord) -> ClaimVerdict | None:
        """Append a claim and return its verdict.

        Returns ``None`` if it wasn't read back in time. Whoever is not told
        that the claim won won't dispatch, so then its key is freed.
        """
        timeout = self._cfg.claim_timeout_ms / _MS_PER_SECOND
        pending = self._pending.open(record)
        self._writer.add(Draft(body=encode(record), on_failure=pending.fail))
        try:
            await _await_verdict(pending, self._timers, timeout)
        finally:
            if self._pending.close(pending):
                self.write_end(free(record))
        return pending.verdict

    def write_end(self, record: ClaimEndRecord) -> None:
        """Append the end of a claim, sooner or later."""
        self._writer.add(Draft(body=encode(record)))

    def _on_record(self, record: object, offset: int) -> None:
        now = self._timers.now()
        if isinstance(record, ClaimEndRecord):
            self._index.add_end(record, offset, now)
        elif isinstance(record, ClaimRecord):
            self._index.add_claim(record, offset, now)
            holder = self._index.find(record.key)
            has_won = holder is not None and holder.claim_id == record.claim_id
            if self._pending.note_read(record.claim_id, has_won=has_won):
                self.write_end(free(record))


async def _await_verdict(
    pending: PendingClaim,
    timers: Timers,
    timeout: float,
) -> None:
    with timers.limit(timeout):
        await pending.wait()
    pending.has_woken = True
