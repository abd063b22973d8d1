"""Test that a daemon doesn't claim to read the store once it doesn't."""

import asyncio
from collections.abc import Callable
from typing import cast

import pytest

from goldcrestwharf.discovery import StoreEpochs
from goldcrestwharf.platform._configuration_loader import ConfigurationLoader
from goldcrestwharf.platform._store import HistoryGoneError, Page, Store
from goldcrestwharf.platform._watch import ConfigurationWatch
from goldcrestwharf.policy import PolicyHolder
from test.helper import make_rng
from test.platform.test_store import FakeRole
from test.proxy.helper import wait_until


def raise_history_gone() -> Page:
    raise HistoryGoneError()


class HandedOverStore:
    """A store whose read ends after another daemon has become a reader."""

    def __init__(self, *, role: FakeRole, end: Callable[[], Page]) -> None:
        self._role = role
        self._end = end

    async def newest(self, _topic: str) -> Page:
        return Page(records=(), end=7)

    async def read(self, _topic: str, **_: object) -> Page:
        self._role.is_active = False
        return self._end()


@pytest.mark.parametrize(
    'end',
    [
        pytest.param(lambda: Page(records=(), end=7), id='page'),
        pytest.param(lambda: Page(records=(), end=9), id='behind'),
        pytest.param(lambda: Page(records=(), end=7, epoch=2), id='restored'),
        pytest.param(raise_history_gone, id='history_gone'),
    ],
)
async def test_claim_to_read_ends_with_the_role_however_the_read_ends(
    end: Callable[[], Page],
) -> None:
    role = FakeRole()
    watch = ConfigurationWatch(
        store=cast(Store, HandedOverStore(role=role, end=end)),
        loader=ConfigurationLoader(holder=PolicyHolder()),
        rng=make_rng(),
        role=role,
        epochs=StoreEpochs(),
    )
    running = asyncio.create_task(watch.run())
    try:
        async with asyncio.timeout(5):
            await wait_until(lambda: role.contacts[-1:] == [False])
    finally:
        running.cancel()
