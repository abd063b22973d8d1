"""Claims on the platform's log, whose order decides who holds a key."""

import anyio

from goldcrestwharf.limits._claim_index import ClaimEntry, ClaimIndex
from goldcrestwharf.limits._claim_pending import (
    ClaimOutcome,
    PendingClaim,
    PendingClaims,
)
from goldcrestwharf.limits._claim_reader import ClaimReader
from goldcrestwharf.limits._claim_records import (
    ClaimEndRecord,
    ClaimRecord,
    make_release,
)
from goldcrestwharf.limits._claim_writer import ClaimWriter, QueuedRecord
from goldcrestwharf.limits._settings import LimitSettings
from goldcrestwharf.log import Log
from goldcrestwharf.timers import Timers
from goldcrestwharf.wire import encode

_MS_PER_S = 1000


class ClaimLog:
    """Client of the claim stream: appends claims and reads back the winners."""

    def __init__(self, *, log: Log, cfg: LimitSettings, timers: Timers) -> None:
        """Store the claims in ``log``."""
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
        """Read the claim stream and append to it until cancelled."""
        async with anyio.create_task_group() as tg:
            tg.start_soon(self.reader.run)
            tg.start_soon(self._writer.run)

    @property
    def is_ready(self) -> bool:
        """Return whether new claims can be decided now."""
        if not self.reader.is_current or self._writer.is_full:
            return False
        return self._index.is_complete(self.reader.first_offset)

    def find(self, key: str) -> ClaimEntry | None:
        """Return the claim that holds ``key``, ``None`` if it is free."""
        return self._index.find(key)

    async def append_claim(self, record: ClaimRecord) -> ClaimOutcome | None:
        """Append a claim and return its outcome.

        Returns ``None`` if it wasn't read back before the timeout. A caller
        that doesn't receive ``WON`` doesn't dispatch the request, so the key
        is released if the claim turns out to have won.
        """
        timeout = self._cfg.claim_timeout_ms / _MS_PER_S
        pending = self._pending.open(record)
        self._writer.add(
            QueuedRecord(body=encode(record), on_failure=pending.fail)
        )
        try:
            await _await_outcome(pending, self._timers, timeout)
        finally:
            if self._pending.close(pending):
                self.write_end(make_release(record))
        return pending.outcome

    def write_end(self, record: ClaimEndRecord) -> None:
        """Queue the end of a claim; it is appended until that succeeds."""
        self._writer.add(QueuedRecord(body=encode(record)))

    def _on_record(self, record: object, offset: int) -> None:
        now = self._timers.now()
        if isinstance(record, ClaimEndRecord):
            self._index.add_end(record, offset, now)
        elif isinstance(record, ClaimRecord):
            self._index.add_claim(record, offset, now)
            holder = self._index.find(record.key)
            has_won = holder is not None and holder.claim_id == record.claim_id
            if self._pending.settle_read(record.claim_id, has_won=has_won):
                self.write_end(make_release(record))


async def _await_outcome(
    pending: PendingClaim,
    timers: Timers,
    timeout: float,
) -> None:
    with timers.limit(timeout):
        await pending.wait()
    pending.has_resumed = True
