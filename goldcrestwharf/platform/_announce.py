"""Find the other daemons through a topic of the store."""

import asyncio
import json

from goldcrestwharf.discovery import DaemonRecord, ReportedRecord
from goldcrestwharf.loglines import EventLog
from goldcrestwharf.platform._store import (
    HistoryGoneError,
    KeyedRecord,
    Page,
    Store,
    StoreError,
)
from goldcrestwharf.platform._values import (
    PlatformFormatError,
    take,
    take_table,
)
from goldcrestwharf.proxy import ProxyDaemon
from goldcrestwharf.timers import Backoff

_log = EventLog(__name__)

_TOPIC = 'keyed.daemons'

#: Bounds of the wait after a failed call, in seconds.
_BACKOFF_BASE_S = 0.1
_BACKOFF_CAP_S = 1.0


async def announce(
    daemon: ProxyDaemon,
    store_address: str,
) -> None:
    """Write where this daemon is found, and read where the others are.

    Of two daemons that do so at once, at least one sees the other, and the
    other learns of it from the stream. Done once; daemons that know each
    other need no store to stay in touch.
    """
    store = Store(address=store_address)
    backoff = Backoff(
        base=_BACKOFF_BASE_S,
        cap=_BACKOFF_CAP_S,
        rng=daemon.core.rng,
    )
    while True:
        try:
            await _announce_once(daemon, store)
        except (StoreError, HistoryGoneError, PlatformFormatError):
            await asyncio.sleep(backoff.record_failure(0))
        else:
            store.close()
            return


async def _announce_once(daemon: ProxyDaemon, store: Store) -> None:
    own = daemon.core.directory.local
    written = json.dumps({'address': own.address, 'zone': own.zone})
    await store.append(
        _TOPIC,
        KeyedRecord(key=own.name, payload=written.encode()),
    )
    _take(daemon, await store.newest(_TOPIC))


def _take(daemon: ProxyDaemon, page: Page) -> None:
    for record in page.records:
        try:
            told = _decode(record)
        except PlatformFormatError as exc:
            _log.warn('daemons.unreadable', cause=exc.reason)
            continue
        told_now = ReportedRecord(record=told)
        daemon.core.directory.record_report(told_now, daemon.core.clock())
    _log.note('daemons.found', count=len(page.records))
    daemon.handle_directory_change()


def _decode(record: KeyedRecord) -> DaemonRecord:
    try:
        parsed = json.loads(record.payload)
    except ValueError as exc:
        raise PlatformFormatError(reason=f'no JSON: {exc}') from exc
    document = take_table(parsed, 'a daemon')
    return DaemonRecord(
        name=record.key,
        address=take(document, 'address', str),
        zone=take(document, 'zone', str),
    )
