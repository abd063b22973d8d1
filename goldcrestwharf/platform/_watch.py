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
from goldcrestwharf.platform._values import PlatformFormatError
from goldcrestwharf.platform._waiting_read import WaitingRead
from goldcrestwharf.policy import PolicySnapshot
from goldcrestwharf.timers import Backoff

_log = EventLog(__name__)

_TOPIC = 'keyed.op'
_KEY = 'config'

#: Range of the random time for which a read waits at the store. The times
#: differ so that one of many daemons reads again soon after all connections
#: have failed silently.
_MIN_WAIT_S = 5.0
_MAX_WAIT_S = 10.0

#: Time from an answer of the store until the first reader of a zone lets the
#: next one come at the latest. If the store comes back without answering the
#: reads that waited, this reader notices by the timeout of its read and informs
#: the others, well before daemons have to run the changes that follow.
_LEAD_WAIT_S = 1.0

#: Timeout of a read of the first reader, in addition to its wait. The others of
#: the zone depend on it to notice a silent connection.
_LEAD_ANSWER_TIMEOUT_S = 1.0

#: Least wait of a read of the first reader.
_LEAD_MIN_WAIT_S = 0.1

#: Time for which successive changes are gathered into one call, well below
#: the time within which a change has to be active.
_COALESCING_WINDOW_S = 0.6

#: Time after which a read is given up if another daemon has what it waits for.
#: The store answers waiting reads within milliseconds of a change, and a whole
#: configuration takes half a second on a low-bandwidth link.
_OVERDUE_TIMEOUT_S = 1.5

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

    def watch_stale_read(self, handle_stale_read: Callable[[], None]) -> None:
        """Call ``handle_stale_read`` when a waiting read may be in vain."""

    def record_contact(self, *, has_contact: bool) -> None:
        """Record whether this daemon reads from the store successfully."""

    def record_wait(self, *, is_waiting: bool) -> None:
        """Record whether a read waits for the next record of the store."""


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
        self._waiting_read = WaitingRead(
            record_wait=lambda is_waiting: role.record_wait(
                is_waiting=is_waiting
            ),
        )
        self._reads_as_lead = False
        epochs.watch(self._handle_restore)
        role.watch_stale_read(self._handle_stale_read)
        loader.holder.watch(self._handle_adoption)
        self._backoff = Backoff(
            base=_BACKOFF_BASE_S,
            cap=_BACKOFF_CAP_S,
            rng=rng,
        )

    async def run(self) -> None:
        """Watch the topic until cancelled."""
        while True:
            if self._role.is_reader():
                await self._read_while_elected()
            await asyncio.sleep(_ROLE_CHECK_INTERVAL_S)

    async def _read_while_elected(self) -> None:
        """Read until this daemon is no reader, and withdraw its claim then."""
        while self._role.is_reader():
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
                self._role.record_contact(has_contact=False)
                await asyncio.sleep(_BACKOFF_CAP_S)
        self._role.record_contact(has_contact=False)

    async def _follow(self) -> None:
        """Read until this daemon is no reader or its offset is of no use.

        It is of no use if one call doesn't return all new records, and after
        a restore. The next call of this method starts with the newest record.
        """
        page = await self._store.newest(_TOPIC)
        offset = page.end
        known_epoch = page.epoch or self._epochs.current
        await self._offer(page, is_newest=True)
        while True:
            self._backoff.record_success()
            self._role.record_contact(has_contact=True)
            answered_at = asyncio.get_running_loop().time()
            if page.records:
                await asyncio.sleep(_COALESCING_WINDOW_S)
            if not self._role.is_reader():
                return
            read = await self._read(offset, known_epoch, answered_at)
            if read is None or read.epoch != page.epoch:
                return
            page = read
            offset += len(page.records)
            if page.end != offset:
                _log.note('store.behind', offset=offset, end=page.end)
                return
            await self._offer(page)

    async def _read(
        self, offset: int, known_epoch: int, answered_at: float
    ) -> Page | None:
        """Return the next page, ``None`` if the read is given up.

        It isn't begun if a later epoch than ``known_epoch`` has begun.
        """
        if self._epochs.current > known_epoch:
            await asyncio.sleep(_RESTORE_RETRY_S)
            return None
        self._reads_as_lead = self._role.is_lead()
        answer_timeout = None
        wait = self._rng.uniform(_MIN_WAIT_S, _MAX_WAIT_S)
        if self._reads_as_lead:
            answer_timeout = _LEAD_ANSWER_TIMEOUT_S
            age = asyncio.get_running_loop().time() - answered_at
            wait = max(_LEAD_WAIT_S - age, _LEAD_MIN_WAIT_S)
        return await self._waiting_read.run(
            self._store.read(
                _TOPIC,
                offset=offset,
                wait=wait,
                answer_timeout=answer_timeout,
                max_bytes=_MAX_PAGE_BYTES,
            )
        )

    def _handle_adoption(self, snapshot: PolicySnapshot) -> None:
        """Limit a read that should have returned what another daemon has."""
        if self._waiting_read.give_up_within(_OVERDUE_TIMEOUT_S):
            _log.note('store.read_overdue', version=snapshot.version)

    def _handle_restore(self, _is_direct: bool) -> None:
        """Give up a read that the restored store may never answer."""
        _log.note('config.store_restored', epoch=self._epochs.current)
        self._waiting_read.give_up_within(0)

    def _handle_stale_read(self) -> None:
        """Limit a long read, whose connection may be silent.

        The short ones of the first reader notice that in time.
        """
        if not self._reads_as_lead:
            self._waiting_read.limit_age(_LEAD_WAIT_S)

    async def _offer(self, page: Page, *, is_newest: bool = False) -> None:
        """Offer the configuration of a page, and then its orders."""
        self._offer_newest(page)
        if self.orders is None:
            return
        try:
            if is_newest:
                await self.orders.offer_newest(self._store, page)
            else:
                self.orders.offer(page)
        except Exception:
            # A defect in an order must not hold up configurations.
            _log.exception('rollout.orders_failed')

    def _offer_newest(self, page: Page) -> None:
        """Offer the records from the newest on until one is adopted."""
        for record in reversed(page.records):
            if record.key == _KEY and record.payload:
                holder = self._loader.holder
                before = holder.version
                self._loader.offer(record.payload, 'store')
                if holder.version > before:
                    return
