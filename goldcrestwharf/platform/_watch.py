"""Watch the operator's configuration in the store."""

import asyncio
import random
from collections.abc import Callable
from typing import Protocol

from goldcrestwharf.discovery import StoreEpochs
from goldcrestwharf.loglines import EventLog
from goldcrestwharf.platform._configuration_loader import ConfigurationLoader
from goldcrestwharf.platform._rollouts import OrderReader
from goldcrestwharf.platform._store import HistoryGoneError, Store, StoreError
from goldcrestwharf.platform._store_records import Page
from goldcrestwharf.platform._values import (
    PlatformFormatError,
)
from goldcrestwharf.timers import Backoff

_log = EventLog(__name__)

_TOPIC = 'keyed.op'
_KEY = 'config'

#: Range of the random time for which a read waits at the store. The times
#: differ so that one of many daemons reads again soon after all connections
#: have failed silently.
_MIN_WAIT_S = 5.0
_MAX_WAIT_S = 10.0

#: Time for which a read of the first reader of a zone waits. If the store
#: comes back without answering the reads that waited, this reader notices by
#: the timeout of its read and informs the others, well before daemons have to
#: run the changes that follow.
_LEAD_WAIT_S = 1.0

#: Time for which successive changes are gathered into one call, well below
#: the time within which a change has to be active.
_COALESCING_WINDOW_S = 0.6

#: Interval at which the daemon checks whether it is a reader.
_ROLE_CHECK_INTERVAL_S = 0.2

#: Wait before the next read if an answer is of an epoch that has ended.
_RESTORE_RETRY_S = 0.2

#: Size of the page of one call. If there is more to read, it is cheaper to
#: get the newest record alone.
_MAX_PAGE_BYTES = 262_144

#: Least and greatest wait after a failed call.
_BACKOFF_BASE_S = 0.1
_BACKOFF_CAP_S = 0.8


class StoreReader(Protocol):
    """The role that decides whether this daemon reads from the store."""

    def is_reader(self) -> bool:
        """Return whether this daemon has to read from the store."""

    def is_lead(self) -> bool:
        """Return whether no other daemon of the zone reads before this one."""

    def watch_lead(self, handle_lead: Callable[[], None]) -> None:
        """Call ``handle_lead`` when no other daemon reads first any more."""

    def record_contact(self, *, has_contact: bool) -> None:
        """Record whether this daemon reads from the store successfully."""


class ConfigurationWatch:
    """A watch on the configurations in the store.

    Orders of roll-outs in the same topic are passed to ``orders``, if set.
    """

    def __init__(
        self,
        *,
        store: Store,
        loader: ConfigurationLoader,
        rng: random.Random,
        role: StoreReader,
        epochs: StoreEpochs,
    ) -> None:
        """Read from ``store``, which nothing else uses, as ``role`` says.

        The newest record is read again when ``epochs`` reports a restore.
        """
        self._store = store
        self._role = role
        self._loader = loader
        self._rng = rng
        self._epochs = epochs
        self.orders: OrderReader | None = None
        self._reading: asyncio.Timeout | None = None
        self._reads_as_lead = False
        epochs.watch(self._handle_restore)
        role.watch_lead(self._handle_lead)
        self._backoff = Backoff(
            base=_BACKOFF_BASE_S,
            cap=_BACKOFF_CAP_S,
            rng=rng,
        )

    async def run(self) -> None:
        """Watch the topic until cancelled."""
        while True:
            if not self._role.is_reader():
                await asyncio.sleep(_ROLE_CHECK_INTERVAL_S)
                continue
            try:
                await self._follow()
            except HistoryGoneError:
                _log.note('config.history_gone')
            except StoreError:
                # The store client has logged the reason.
                self._role.record_contact(has_contact=False)
                await asyncio.sleep(self._backoff.record_failure(0))
            except (PlatformFormatError, ValueError, IndexError) as exc:
                _log.warning('store.unreadable', cause=repr(exc))
                await asyncio.sleep(_BACKOFF_CAP_S)

    async def _follow(self) -> None:
        """Read until this daemon is no reader or its offset is of no use.

        It is of no use if one call doesn't return all new records, and after
        a restore. The next call of this method starts with the newest record.
        """
        page = await self._store.newest(_TOPIC)
        offset = page.end
        known_epoch = page.epoch or self._epochs.current
        await self._offer_orders(page, is_newest=True)
        while True:
            self._backoff.record_success()
            self._offer_newest(page)
            self._role.record_contact(has_contact=True)
            if page.records:
                await asyncio.sleep(_COALESCING_WINDOW_S)
            if not self._role.is_reader():
                self._role.record_contact(has_contact=False)
                return
            read = await self._read(offset, known_epoch)
            if read is None or read.epoch != page.epoch:
                return
            page = read
            await self._offer_orders(page)
            offset += len(page.records)
            if page.end != offset:
                _log.note('store.behind', offset=offset, end=page.end)
                return

    async def _read(self, offset: int, known_epoch: int) -> Page | None:
        """Return the next page.

        Returns ``None`` if a later epoch than ``known_epoch`` has begun, or
        if this daemon became the first reader of its zone during the read.
        """
        if self._epochs.current > known_epoch:
            await asyncio.sleep(_RESTORE_RETRY_S)
            return None
        self._reads_as_lead = self._role.is_lead()
        wait = _LEAD_WAIT_S
        if not self._reads_as_lead:
            wait = self._rng.uniform(_MIN_WAIT_S, _MAX_WAIT_S)
        try:
            async with asyncio.timeout(None) as reading:
                self._reading = reading
                return await self._store.read(
                    _TOPIC,
                    offset=offset,
                    wait=wait,
                    max_bytes=_MAX_PAGE_BYTES,
                )
        except TimeoutError:
            return None
        finally:
            self._reading = None

    def _handle_restore(self, _is_direct: bool) -> None:
        """Give up a read that the restored store may never answer."""
        _log.note('config.store_restored', epoch=self._epochs.current)
        self._give_up_read()

    def _handle_lead(self) -> None:
        """Give up a long read, whose connection may be silent.

        No other daemon of the zone would notice that in time any more.
        """
        if not self._reads_as_lead:
            self._give_up_read()

    def _give_up_read(self) -> None:
        reading = self._reading
        if reading is not None and not reading.expired():
            reading.reschedule(asyncio.get_running_loop().time())

    async def _offer_orders(
        self, page: Page, *, is_newest: bool = False
    ) -> None:
        if self.orders is not None and is_newest:
            await self.orders.offer_newest(self._store, page)
        elif self.orders is not None:
            self.orders.offer(page)

    def _offer_newest(self, page: Page) -> None:
        """Offer the records from the newest on until one is adopted."""
        for record in reversed(page.records):
            if record.key == _KEY and record.payload:
                holder = self._loader.holder
                before = holder.version
                self._loader.offer(record.payload, 'store')
                if holder.version > before:
                    return
