"""Announce this daemon in the store and discover the other daemons."""

import asyncio
import json

from goldcrestwharf.discovery import DaemonRecord, ReportedRecord
from goldcrestwharf.loglines import EventLog
from goldcrestwharf.platform._fields import (
    expect_table,
    get_address,
    get_field,
)
from goldcrestwharf.platform._leaving import (
    TOPIC,
    is_leaving,
    restore_leaving,
)
from goldcrestwharf.platform._store import HistoryGoneError, Store, StoreError
from goldcrestwharf.platform._store_records import KeyedRecord, Page
from goldcrestwharf.platform._values import (
    PlatformFormatError,
    parse_json,
)
from goldcrestwharf.proxy import ProxyDaemon
from goldcrestwharf.timers import Backoff

_log = EventLog(__name__)

#: Least and greatest wait after a failed call.
_BACKOFF_BASE_S = 0.1
_BACKOFF_CAP_S = 1.0

#: Fraction of the store's writing calls that all daemons together use to
#: write their records again.
_WRITES_FRACTION = 0.25


class Announcer:
    """Writer of the record of this daemon in the store.

    ``writes_per_s`` is the number of writing calls that the store takes from
    all daemons together, per second.
    """

    def __init__(
        self, *, daemon: ProxyDaemon, store: Store, writes_per_s: float
    ) -> None:
        """Announce ``daemon`` in ``store``, which nothing else uses."""
        self._daemon = daemon
        self._store = store
        self._rate = writes_per_s * _WRITES_FRACTION
        self._restored = asyncio.Event()
        daemon.core.store_epochs.watch(lambda _: self._restored.set())

    async def run(self) -> None:
        """Store the address of this daemon, and read those of the others.

        Of two daemons that do this at the same time, at least one finds the
        other, which learns of it from their connection. Daemons that know
        each other don't need the store to stay connected. A restored store
        may lack the record, so it is written again, at a random time that
        keeps the calls of all daemons within the rate of the store.
        """
        core = self._daemon.core
        epoch = await self._retry_announcing(lists_others=True)
        while True:
            await self._wait_for_restore(epoch)
            spread = core.directory.max_known / self._rate
            await asyncio.sleep(core.rng.uniform(0, spread))
            known_epoch = core.store_epochs.current
            # Readers find the daemons that started meanwhile; the others
            # learn of these from them.
            stated_epoch = await self._retry_announcing(
                lists_others=core.reader_election.has_contact
            )
            epoch = max(stated_epoch, known_epoch)
            _log.note('daemon.announced_again', epoch=epoch)

    async def _wait_for_restore(self, epoch: int) -> None:
        """Wait until the store is known to be in a later epoch."""
        while self._daemon.core.store_epochs.current <= epoch:
            self._restored.clear()
            await self._restored.wait()

    async def _retry_announcing(self, *, lists_others: bool) -> int:
        """Announce until the store accepts it; return its epoch."""
        backoff = Backoff(
            base=_BACKOFF_BASE_S,
            cap=_BACKOFF_CAP_S,
            rng=self._daemon.core.rng,
        )
        while True:
            try:
                return await self._announce(lists_others=lists_others)
            except (StoreError, HistoryGoneError, PlatformFormatError):
                await asyncio.sleep(backoff.record_failure(0))

    async def _announce(self, *, lists_others: bool) -> int:
        local = self._daemon.core.directory.local
        written = json.dumps({'address': local.address, 'zone': local.zone})
        epoch = await self._store.append(
            TOPIC,
            KeyedRecord(key=local.name, payload=written.encode()),
        )
        if lists_others:
            page = await self._store.newest(TOPIC)
            restore_leaving(self._daemon, page)
            _add_daemons(self._daemon, page)
        self._store.close()
        return epoch


def _add_daemons(daemon: ProxyDaemon, page: Page) -> None:
    records = [one for one in page.records if not is_leaving(one)]
    for record in records:
        try:
            decoded = _decode(record)
        except PlatformFormatError as exc:
            _log.warning('daemons.unreadable', cause=exc.reason)
            continue
        received = ReportedRecord(record=decoded)
        daemon.core.directory.record_report(received, daemon.core.clock())
    _log.note('daemons.found', count=len(records))
    daemon.handle_directory_change()


def _decode(record: KeyedRecord) -> DaemonRecord:
    document = expect_table(parse_json(record.payload), 'a daemon')
    try:
        return DaemonRecord(
            name=record.key,
            address=get_address(document, 'address'),
            zone=get_field(document, 'zone', str),
        )
    except ValueError as exc:
        raise PlatformFormatError(reason=str(exc)) from exc
