"""Follow the operator's configuration in the store."""

import asyncio
import random
from typing import Protocol

from goldcrestwharf.loglines import EventLog
from goldcrestwharf.platform._intake import ConfigurationIntake
from goldcrestwharf.platform._store import (
    HistoryGoneError,
    Page,
    Store,
    StoreError,
)
from goldcrestwharf.platform._values import PlatformFormatError
from goldcrestwharf.timers import Backoff

_log = EventLog(__name__)

_TOPIC = 'keyed.op'
_KEY = 'config'

#: Bounds, in seconds, of the wait that is asked of the store. Spread, so that
#: of many daemons one asks anew soon after all their connections fell silent.
_LEAST_WAIT_S = 5.0
_MOST_WAIT_S = 10.0

#: Seconds in which changes that follow one another are read in one call, well
#: inside the time in which a change has to be in force.
_COALESCING_S = 0.6

#: Seconds between two looks at whether this daemon has to read.
_DUTY_PERIOD_S = 0.2

#: Bytes that one call brings; with more, the newest record is cheaper.
_MOST_BYTES = 262_144

#: Bounds of the wait after a failed call, in seconds.
_BACKOFF_BASE_S = 0.1
_BACKOFF_CAP_S = 0.8


class StoreDuty(Protocol):
    """Tell whether to read, and hear whether the store answers."""

    def is_reader(self) -> bool:
        """Tell whether this daemon has to read from the store."""

    def note_contact(self, *, has_contact: bool) -> None:
        """Hear whether this daemon reads from the store, with answers."""


class ConfigurationWatch:
    """Hand on the configurations of the store."""

    def __init__(
        self,
        *,
        store: Store,
        intake: ConfigurationIntake,
        rng: random.Random,
        duty: StoreDuty,
    ) -> None:
        """Read by ``store``, a connection of its own, while on ``duty``."""
        self._store = store
        self._duty = duty
        self._intake = intake
        self._rng = rng
        self._backoff = Backoff(
            base=_BACKOFF_BASE_S,
            cap=_BACKOFF_CAP_S,
            rng=rng,
        )

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        while True:
            if not self._duty.is_reader():
                await asyncio.sleep(_DUTY_PERIOD_S)
                continue
            try:
                await self._follow()
            except HistoryGoneError:
                _log.note('config.history_gone')
            except StoreError:
                # The store has logged why.
                self._duty.note_contact(has_contact=False)
                await asyncio.sleep(self._backoff.record_failure(0))
            except (PlatformFormatError, ValueError, IndexError) as exc:
                _log.warn('store.unreadable', cause=repr(exc))
                await asyncio.sleep(_BACKOFF_CAP_S)

    async def _follow(self) -> None:
        """Read until the duty ends or one call doesn't bring all.

        Whoever calls this again begins with the newest record.
        """
        page = await self._store.newest(_TOPIC)
        offset = page.end
        while True:
            self._backoff.record_success()
            self._take(page)
            self._duty.note_contact(has_contact=True)
            if page.records:
                await asyncio.sleep(_COALESCING_S)
            if not self._duty.is_reader():
                self._duty.note_contact(has_contact=False)
                return
            page = await self._store.read(
                _TOPIC,
                offset=offset,
                wait=self._rng.uniform(_LEAST_WAIT_S, _MOST_WAIT_S),
                most_bytes=_MOST_BYTES,
            )
            offset += len(page.records)
            if page.end != offset:
                _log.note('store.behind', offset=offset, end=page.end)
                return

    def _take(self, page: Page) -> None:
        """Offer the newest readable record first; it may be the last tried."""
        for record in reversed(page.records):
            if record.key == _KEY and record.payload:
                holder = self._intake.holder
                before = holder.version
                self._intake.offer(record.payload, 'store')
                if holder.version > before:
                    return
