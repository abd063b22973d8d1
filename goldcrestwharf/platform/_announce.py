"""Announce this daemon in the store and discover the other daemons."""

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
    expect_table,
    get_field,
)
from goldcrestwharf.proxy import ProxyDaemon
from goldcrestwharf.timers import Backoff

_log = EventLog(__name__)

_TOPIC = 'keyed.daemons'

#: Least and greatest wait after a failed call.
_BACKOFF_BASE_S = 0.1
_BACKOFF_CAP_S = 1.0


async def announce(
    daemon: ProxyDaemon,
    store_address: str,
) -> None:
    """Store the address of this daemon, and read those of the others.

    Of two daemons that do this at the same time, at least one finds the
    other, which learns of it from their connection. Once is enough: daemons
    that know each other don't need the store to stay connected.
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
    local = daemon.core.directory.local
    written = json.dumps({'address': local.address, 'zone': local.zone})
    await store.append(
        _TOPIC,
        KeyedRecord(key=local.name, payload=written.encode()),
    )
    _add_daemons(daemon, await store.newest(_TOPIC))


def _add_daemons(daemon: ProxyDaemon, page: Page) -> None:
    for record in page.records:
        try:
            decoded = _decode(record)
        except PlatformFormatError as exc:
            _log.warning('daemons.unreadable', cause=exc.reason)
            continue
        received = ReportedRecord(record=decoded)
        daemon.core.directory.record_report(received, daemon.core.clock())
    _log.note('daemons.found', count=len(page.records))
    daemon.handle_directory_change()


def _decode(record: KeyedRecord) -> DaemonRecord:
    try:
        parsed = json.loads(record.payload)
    except ValueError as exc:
        raise PlatformFormatError(reason=f'invalid JSON: {exc}') from exc
    document = expect_table(parsed, 'a daemon')
    return DaemonRecord(
        name=record.key,
        address=get_field(document, 'address', str),
        zone=get_field(document, 'zone', str),
    )
