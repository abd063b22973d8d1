"""Keep in the store that the local target is leaving.

The leaving is remembered by the daemons that were told, and would be forgotten
if all of them ended at once.
"""

import asyncio
import json
import math

from goldcrestwharf.discovery import LeaveNotice, TargetProcess
from goldcrestwharf.loglines import EventLog
from goldcrestwharf.platform._fields import expect_table, get_field
from goldcrestwharf.platform._store import HistoryGoneError, Store, StoreError
from goldcrestwharf.platform._store_records import KeyedRecord, Page
from goldcrestwharf.platform._values import PlatformFormatError, parse_json
from goldcrestwharf.proxy import ProxyDaemon

_log = EventLog(__name__)

#: Topic of the daemons, which each daemon reads at its start.
TOPIC = 'keyed.daemons'

_PREFIX = 'leaving/'

#: Seconds for which an acknowledgement waits for the store. The target gives
#: up after one second.
_WRITE_TIMEOUT_S = 0.4


class LeavingWriter:
    """Writer of the record that the local target is leaving."""

    def __init__(self, *, daemon: ProxyDaemon, store: Store) -> None:
        """Write to ``store``, which nothing else uses."""
        self._key = _make_key(daemon)
        self._store = store
        self._stored: TargetProcess | None = None
        self._writing: asyncio.Task[None] | None = None

    async def keep(self, process: TargetProcess) -> None:
        """Wait until the store has the leaving of a process.

        If the store is slow or away, the wait ends after a time. The other
        daemons have been told in any case.
        """
        if process == self._stored:
            return
        if self._writing is None or self._writing.done():
            loop = asyncio.get_running_loop()
            self._writing = loop.create_task(self._write(process))
        await asyncio.wait({self._writing}, timeout=_WRITE_TIMEOUT_S)

    async def _write(self, process: TargetProcess) -> None:
        instance_id, started_ms = process
        written = json.dumps({'instance': instance_id, 'born': started_ms})
        record = KeyedRecord(key=self._key, payload=written.encode())
        try:
            await self._store.append(TOPIC, record)
        except (StoreError, HistoryGoneError) as exc:
            _log.warning('target.leaving_unstored', cause=repr(exc))
        else:
            self._stored = process
            self._store.close()


def is_leaving(record: KeyedRecord) -> bool:
    """Return whether a record says that a target is leaving."""
    return record.key.startswith(_PREFIX)


def restore_leaving(daemon: ProxyDaemon, page: Page) -> None:
    """Apply what an earlier process of this daemon has written, if anything."""
    key = _make_key(daemon)
    for record in page.records:
        if record.key == key and record.payload:
            try:
                notice = _decode(record)
            except PlatformFormatError as exc:
                _log.warning('target.leaving_unreadable', cause=exc.reason)
                continue
            daemon.core.instance_tracker.record_leave(notice, -math.inf)
            _log.note(
                'target.leaving_restored',
                instance=notice.instance_id,
                started_ms=notice.started_ms,
            )
            daemon.handle_target_change()


def _make_key(daemon: ProxyDaemon) -> str:
    return _PREFIX + daemon.core.directory.local.name


def _decode(record: KeyedRecord) -> LeaveNotice:
    document = expect_table(parse_json(record.payload), 'a leaving')
    return LeaveNotice(
        instance_id=get_field(document, 'instance', str),
        started_ms=get_field(document, 'born', int),
    )
