"""Reader that follows the claim stream from its earliest record."""

from collections.abc import Callable
from contextlib import suppress

from goldcrestwharf.errors import GoldcrestwharfError, PlatformUnavailableError
from goldcrestwharf.limits._claim_records import CLAIM_STREAM
from goldcrestwharf.limits._settings import LimitSettings
from goldcrestwharf.log import Log, LogPage, LogRecord
from goldcrestwharf.timers import Timers
from goldcrestwharf.wire import decode

_MS_PER_S = 1000
_MAX_RECORDS_PER_READ = 1000
_READ_TIMEOUT_S = 20


class ClaimReader:
    """Reader that passes each record to ``on_record`` in log order.

    ``first_offset`` is the log's earliest record as of the latest read, and
    ``is_current`` is set while the reader has reached the end of the log and
    the log still answers.
    """

    def __init__(
        self,
        *,
        log: Log,
        cfg: LimitSettings,
        timers: Timers,
        on_record: Callable[[object, int], None],
    ) -> None:
        """Start at the earliest record that ``log`` retains."""
        self.first_offset = 0
        self.is_current = False
        self._log = log
        self._cfg = cfg
        self._timers = timers
        self._on_record = on_record
        self._position = 0
        self._last_body = b''
        self._log_id = ''

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            try:
                await self._read_page()
            except PlatformUnavailableError:
                self.is_current = False
                pause = self._cfg.claim_retry_ms / _MS_PER_S
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
        # After a failed read the log may be another one, so the record that
        # was read last is read and compared again.
        repeated = 0 if self.is_current else min(self._position, 1)
        page = await self._log.read(
            CLAIM_STREAM,
            offset=self._position - repeated,
            limit=_MAX_RECORDS_PER_READ,
            wait=_READ_TIMEOUT_S if self.is_current else 0,
        )
        self._apply(page)

    def _apply(self, page: LogPage) -> None:
        self.first_offset = page.first_offset
        if self._is_replaced(page):
            # Its offsets restarted.
            self.is_current = False
            self._position = page.first_offset
            self._last_body = b''
            self._log_id = ''
            return
        self._log_id = page.log_id
        for record in page.records:
            if record.offset >= self._position:
                self._on_record(_parse(record), record.offset)
                self._position = record.offset + 1
                self._last_body = record.body
        self.is_current = self._position >= page.end_offset

    def _is_replaced(self, page: LogPage) -> bool:
        """Return whether ``page`` is of another log than was read before."""
        if page.end_offset < self._position:
            return True
        if self._log_id and page.log_id not in {'', self._log_id}:
            return True
        return any(
            record.body != self._last_body
            for record in page.records[:1]
            if record.offset == self._position - 1 and self._last_body
        )


def _parse(record: LogRecord) -> object | None:
    """Decode a record; ``None`` for messages of other releases."""
    parsed: object | None = None
    with suppress(GoldcrestwharfError):
        parsed = decode(record.body)
    return parsed
