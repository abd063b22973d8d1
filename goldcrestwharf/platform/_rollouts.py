"""Read orders of roll-outs from the store, and write their statuses."""

import asyncio
import random
import time
from collections.abc import Callable, Iterator

import attrs

from goldcrestwharf.loglines import EventLog
from goldcrestwharf.platform._rollout_records import (
    StoredStatus,
    decode_order,
    encode_status,
    find_status,
    is_rollout,
)
from goldcrestwharf.platform._store import (
    ConflictError,
    HistoryGoneError,
    Store,
    StoreError,
)
from goldcrestwharf.platform._store_records import Page
from goldcrestwharf.platform._values import PlatformFormatError
from goldcrestwharf.proxy import DueStatus, RolloutExchange, RolloutStatuses
from goldcrestwharf.rollouts import (
    Phase,
    RolloutOrder,
    RolloutState,
    RolloutStatus,
)
from goldcrestwharf.timers import Backoff

_log = EventLog(__name__)

_TOPIC = 'keyed.status'

#: Interval at which due statuses are looked for, in seconds.
_CHECK_INTERVAL_S = 0.05

#: Least and greatest wait after a failed call, in seconds. It is short since
#: an order ends at a fixed time.
_BACKOFF_BASE_S = 0.1
_BACKOFF_CAP_S = 0.5

_MS_PER_S = 1000


class OrderReader:
    """Reader of the orders in records of the store."""

    def __init__(
        self,
        *,
        rollouts: RolloutExchange,
        clock: Callable[[], float],
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        """Offer orders to ``rollouts``; ``clock`` is the one that it uses."""
        self._rollouts = rollouts
        self._clock = clock
        self._wall_clock = wall_clock

    def offer(self, page: Page) -> None:
        """Offer the orders in a page of new records."""
        for order in _decode_orders(page):
            # It was just written, so the store has no status of it.
            self._rollouts.offer(
                RolloutState(
                    order=order, began_at=self._clock(), has_started=True
                ),
            )

    async def offer_newest(self, store: Store, page: Page) -> None:
        """Offer the orders in a page of the newest records.

        They may have ended long ago, so their statuses are read as well.
        Without an answer, the controller reads them before it begins.
        """
        orders = tuple(_decode_orders(page))
        if not orders:
            return
        try:
            statuses = await store.newest(_TOPIC)
        except (StoreError, HistoryGoneError, PlatformFormatError) as exc:
            _log.warning('rollout.statuses_unread', cause=repr(exc))
            statuses = None
        for order in orders:
            state = RolloutState(order=order, began_at=self._clock())
            if statuses is not None:
                state = self._apply_status(state, statuses)
            self._rollouts.offer(state)

    def _apply_status(
        self, state: RolloutState, statuses: Page
    ) -> RolloutState:
        """Return the state of an order according to the store."""
        stored = find_status(statuses.records, state.order)
        is_written = stored is not None and stored.status.phase.is_terminal
        return attrs.evolve(
            state,
            began_at=self._find_start(stored),
            phase=Phase.TRIAL if stored is None else stored.status.phase,
            has_started=True,
            is_written=is_written,
            written_epoch=statuses.epoch if is_written else 0,
        )

    def _find_start(self, stored: StoredStatus | None) -> float:
        """Return the start of an order as a time of this daemon's clock."""
        if stored is None or stored.started_ms is None:
            return self._clock()
        age = self._wall_clock() - stored.started_ms / _MS_PER_S
        return self._clock() - max(age, 0)


class StatusWriter:
    """Writer of the statuses that fall to this daemon."""

    def __init__(
        self,
        *,
        store: Store,
        statuses: RolloutStatuses,
        rng: random.Random,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        """Write to ``store``, which nothing else uses."""
        self._store = store
        self._statuses = statuses
        self._wall_clock = wall_clock
        self._backoff = Backoff(
            base=_BACKOFF_BASE_S, cap=_BACKOFF_CAP_S, rng=rng
        )

    async def run(self) -> None:
        """Write what is due until cancelled."""
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            for due in tuple(self._statuses.list_due()):
                await self._try_settle(due)

    async def _try_settle(self, due: DueStatus) -> None:
        try:
            await self._settle(due)
        except ConflictError:
            _log.note('rollout.status_conflict', service=due.order.service)
        except (StoreError, HistoryGoneError):
            # The store client has logged the reason.
            await asyncio.sleep(self._backoff.record_failure(0))
        except (PlatformFormatError, ValueError) as exc:
            _log.warning('store.unreadable', cause=repr(exc))
            await asyncio.sleep(_BACKOFF_CAP_S)
        else:
            self._backoff.record_success()

    async def _settle(self, due: DueStatus) -> None:
        """Adopt the status that the store has, or append the due one.

        The append is refused if anything was appended since the read, so two
        controllers can't end an order differently.
        """
        page = await self._store.newest(_TOPIC)
        stored = find_status(page.records, due.order)
        if stored is not None and _is_final(stored.status, due.status):
            self._record(due.order, stored.status, page.epoch, is_own=False)
            return
        record = encode_status(
            due.order, due.status, self._wall_clock() - due.age
        )
        epoch = await self._store.append(_TOPIC, record, at=page.end)
        self._record(due.order, due.status, epoch, is_own=True)

    def _record(
        self,
        order: RolloutOrder,
        status: RolloutStatus,
        epoch: int,
        *,
        is_own: bool,
    ) -> None:
        _log.note(
            'rollout.status',
            service=order.service,
            target_version=order.version,
            order=order.offset,
            state=status.value,
            epoch=epoch,
            is_own=is_own,
        )
        self._statuses.record(order, status, epoch)


def _is_final(stored: RolloutStatus, due: RolloutStatus) -> bool:
    """Return whether a stored status takes the place of the due one."""
    return stored.phase.is_terminal or stored is due


def _decode_orders(page: Page) -> Iterator[RolloutOrder]:
    for record in page.records:
        if is_rollout(record):
            try:
                yield decode_order(record, page.epoch)
            except PlatformFormatError as exc:
                _log.warning(
                    'rollout.unreadable', key=record.key, cause=exc.reason
                )
