"""Batching writer of the local daemon's claim records."""

from collections import deque
from collections.abc import Callable
from itertools import islice

import anyio
import attrs

from goldcrestwharf.errors import PlatformUnavailableError
from goldcrestwharf.limits._claim_records import CLAIM_STREAM
from goldcrestwharf.limits._settings import LimitSettings
from goldcrestwharf.log import Log
from goldcrestwharf.timers import Timers

_MS_PER_S = 1000


@attrs.frozen(kw_only=True)
class QueuedRecord:
    """An encoded record that waits to be appended.

    ``on_failure`` is called if the record certainly wasn't appended. Without
    it the append is retried until it succeeds, so the record may be stored
    more than once.
    """

    body: bytes
    on_failure: Callable[[], None] | None = None


class ClaimWriter:
    """Writer that collects records briefly and appends them as one batch.

    Only one append is in progress at a time, so a slow log receives larger
    batches instead of more of them.
    """

    def __init__(self, *, log: Log, cfg: LimitSettings, timers: Timers) -> None:
        """Append to the claim stream of ``log``."""
        self._log = log
        self._cfg = cfg
        self._timers = timers
        self._queue: deque[QueuedRecord] = deque()
        self._added = anyio.Event()

    @property
    def is_full(self) -> bool:
        """Return whether the backlog has reached its limit."""
        return len(self._queue) >= self._cfg.claim_backlog

    def add(self, record: QueuedRecord) -> None:
        """Queue a record for the next batch."""
        self._queue.append(record)
        self._added.set()

    async def run(self) -> None:
        """Append batches until cancelled."""
        while True:
            await self._added.wait()
            await self._timers.sleep(self._cfg.claim_window_ms / _MS_PER_S)
            await self._append(self._pop_batch())

    def _pop_batch(self) -> list[QueuedRecord]:
        batch = list(islice(self._queue, self._cfg.claim_batch))
        for _ in batch:
            self._queue.popleft()
        if not self._queue:
            self._added = anyio.Event()
        return batch

    async def _append(self, batch: list[QueuedRecord]) -> None:
        bodies = [record.body for record in batch]
        try:
            await self._log.append(CLAIM_STREAM, bodies)
        except PlatformUnavailableError as exc:
            self._settle_failed(batch, exc)
            pause = self._cfg.claim_retry_ms / _MS_PER_S
            await self._timers.sleep(pause)

    def _settle_failed(
        self,
        batch: list[QueuedRecord],
        exc: PlatformUnavailableError,
    ) -> None:
        retried = [record for record in batch if record.on_failure is None]
        for record in reversed(retried):
            self.add(record)
            self._queue.rotate()
        if exc.is_effect_unknown:
            return
        for failed in batch:
            if failed.on_failure is not None:
                failed.on_failure()
