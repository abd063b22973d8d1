"""Append the records of one daemon in batches."""

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

_MS_PER_SECOND = 1000


@attrs.frozen(kw_only=True)
class Draft:
    """Hold the bytes of a record that waits to be appended.

    ``on_failure`` is called once the record certainly wasn't appended;
    without it the record is appended until it succeeds, maybe twice.
    """

    body: bytes
    on_failure: Callable[[], None] | None = None


class ClaimWriter:
    """Gather records for a short time, then append them in one step.

    One append is under way at a time, so that a slow log gets larger
    batches and not more of them.
    """

    def __init__(self, *, log: Log, cfg: LimitSettings, timers: Timers) -> None:
        """Append to the stream of claims on ``log``."""
        self._log = log
        self._cfg = cfg
        self._timers = timers
        self._drafts: deque[Draft] = deque()
        self._added = anyio.Event()

    @property
    def is_full(self) -> bool:
        """Tell whether so much waits that another record had better not."""
        return len(self._drafts) >= self._cfg.claim_backlog

    def add(self, draft: Draft) -> None:
        """Put a record into the next batch."""
        self._drafts.append(draft)
        self._added.set()

    async def run(self) -> None:
        """Append batches until cancelled."""
        while True:
            await self._added.wait()
            await self._timers.sleep(self._cfg.claim_window_ms / _MS_PER_SECOND)
            await self._append(self._take())

    def _take(self) -> list[Draft]:
        batch = list(islice(self._drafts, self._cfg.claim_batch))
        for _ in batch:
            self._drafts.popleft()
        if not self._drafts:
            self._added = anyio.Event()
        return batch

    async def _append(self, batch: list[Draft]) -> None:
        bodies = [draft.body for draft in batch]
        try:
            await self._log.append(CLAIM_STREAM, bodies)
        except PlatformUnavailableError as exc:
            self._settle_failed(batch, exc)
            pause = self._cfg.claim_retry_ms / _MS_PER_SECOND
            await self._timers.sleep(pause)

    def _settle_failed(
        self,
        batch: list[Draft],
        exc: PlatformUnavailableError,
    ) -> None:
        again = [draft for draft in batch if draft.on_failure is None]
        for draft in reversed(again):
            self.add(draft)
            self._drafts.rotate()
        if exc.is_effect_unknown:
            return
        for failed in batch:
            if failed.on_failure is not None:
                failed.on_failure()
