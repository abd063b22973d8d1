"""Test that offsets are used within their epoch of the store only."""

import asyncio
from collections.abc import Callable
from typing import cast

from goldcrestwharf.discovery import StoreEpochs
from goldcrestwharf.platform._configuration_loader import ConfigurationLoader
from goldcrestwharf.platform._store import Page, Store
from goldcrestwharf.platform._watch import ConfigurationWatch
from goldcrestwharf.policy import PolicyHolder
from test.helper import make_rng


class Reader:
    """A role that always reads."""

    def is_reader(self) -> bool:
        return True

    def is_lead(self) -> bool:
        return False

    def watch_stale_read(self, handle_stale_read: Callable[[], None]) -> None:
        """Ignore the watcher."""

    def record_contact(self, *, has_contact: bool) -> None:
        """Ignore the contact."""

    def record_wait(self, *, is_waiting: bool) -> None:
        """Ignore the wait."""


class RestoredStore:
    """A store of which another daemon reports a restore during a call."""

    def __init__(self, *, epochs: StoreEpochs) -> None:
        self.read_offset = asyncio.get_running_loop().create_future()
        self._epochs = epochs

    async def newest(self, _topic: str) -> Page:
        epoch = self._epochs.current
        self._epochs.record(2, is_direct=False)
        return Page(records=(), end=10 - epoch, epoch=epoch)

    async def read(self, _topic: str, *, offset: int, **_: object) -> Page:
        self.read_offset.set_result(offset)
        return await asyncio.get_running_loop().create_future()


async def test_offset_of_a_page_from_before_a_restore_is_not_read() -> None:
    epochs = StoreEpochs()
    epochs.record(1, is_direct=True)
    store = RestoredStore(epochs=epochs)
    watch = ConfigurationWatch(
        store=cast(Store, store),
        loader=ConfigurationLoader(holder=PolicyHolder()),
        rng=make_rng(),
        role=Reader(),
        epochs=epochs,
    )
    running = asyncio.create_task(watch.run())
    async with asyncio.timeout(5):
        assert await store.read_offset == 8
    running.cancel()
