"""Read the stream of claims from its start and follow it."""

from collections.abc import Callable
from contextlib import suppress

from goldcrestwharf.errors import GoldcrestwharfError, PlatformUnavailableError
from goldcrestwharf.limits._claim_records import CLAIM_STREAM
from goldcrestwharf.limits._settings import LimitSettings
from goldcrestwharf.log import Log, LogPage, LogRecord
from goldcrestwharf.timers import Timers
from goldcrestwharf.wire import decode

_MS_PER_SECOND = 1000
_PAGE_RECORDS = 1000
_WAIT_SECONDS = 20


class ClaimReader:
    """Give each record to ``on_record`` in the order of the log.

    ``first_offset`` is the log's earliest record as of the latest read, and
    ``is_current`` tells that the end was reached and the log still answers.
    """

    def __init__(
        self,
        *,
        log: Log,
        cfg: LimitSettings,
        timers: Timers,
        on_record: Callable[[object, int], None],
    ) -> None:
        """Begin at the earliest record that ``log`` keeps."""
        self.first_offset = 0
        self.is_current = False
        self._log = log
        self._cfg = cfg
        self._timers = timers
        self._on_record = on_record
        self._position = 0

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            try:
                await self._read_page()
            except PlatformUnavailableError:
                self.is_current = False
                pause = self._cfg.claim_retry_ms / _MS_PER_SECOND
                await self._timers.sleep(pause)

    async def fetch(self, offset: int) -> object | None:
        """Return the record at ``offset``, ``None`` if it can't be read."""
        try:
            page = await self._log.read(
                CLAIM_STREAM,
                offset=offset,
                limit=1,
                wait=0,
            )
        except PlatformUnavailableError:
            return None
        return next(
            (_parse(one) for one in page.records if one.offset == offset),
            None,
        )

    async def _read_page(self) -> None:
        page = await self._log.read(
            CLAIM_STREAM,
            offset=self._position,
            limit=_PAGE_RECORDS,
            wait=_WAIT_SECONDS if self.is_current else 0,
        )
        self._take(page)

    def _take(self, page: LogPage) -> None:
        self.first_offset = page.first_offset
        if page.end_offset < self._position:
            # The log was replaced and its offsets began anew.
            self._position = page.first_offset
            return
        for record in page.records:
            self._on_record(_parse(record), record.offset)
            self._position = record.offset + 1
        if self._position >= page.end_offset:
            self.is_current = True


def _parse(record: LogRecord) -> object | None:
    """Return the message of a record; other releases may write others."""
    parsed: object | None = None
    with suppress(GoldcrestwharfError):
        parsed = decode(record.body)
    return parsed
