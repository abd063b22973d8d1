"""Check that silent connections to the store don't delay versions."""

import asyncio
from typing import cast

import pytest

from goldcrestwharf.discovery import StoreEpochs
from goldcrestwharf.platform._configuration_loader import ConfigurationLoader
from goldcrestwharf.platform._store import KeyedRecord, Page, Store
from goldcrestwharf.platform._watch import ConfigurationWatch
from goldcrestwharf.policy import PolicyHolder
from test.helper import make_rng
from test.platform.test_store import (
    FakeRole,
    open_store,
    run_watch,
    write_configuration,
)
from test.platform.test_store_restore import (
    NEVER_S,
    STORE,
    WATCH,
    open_platform,
)
from test.policy.helper import make_snapshot
from test.proxy.helper import Vm, wait_until


def is_first(vm: Vm) -> bool:
    return vm.daemon.reader_role.is_lead()


@pytest.fixture
def long_waits(monkeypatch: pytest.MonkeyPatch) -> None:
    """Only the first reader of a zone notices a silent connection."""
    for name in ('_MIN_WAIT_S', '_MAX_WAIT_S'):
        monkeypatch.setattr(f'{WATCH}.{name}', NEVER_S)
    monkeypatch.setattr(f'{WATCH}._LEAD_WAIT_S', 0.05)
    monkeypatch.setattr(f'{STORE}._ANSWER_TIMEOUT_S', 0.3)


@pytest.mark.usefixtures('long_waits')
async def test_read_that_is_long_ends_if_the_first_reader_leaves() -> None:
    """Its connection may be silent, and nobody is left to notice that."""
    async with open_platform(2) as platform:
        await wait_until(lambda: sum(map(is_first, platform.vms)) == 1)
        first, second = sorted(platform.vms, key=is_first, reverse=True)
        write_configuration(platform.stub, 4)
        await wait_until(lambda: second.holder.version == 4)
        await wait_until(lambda: platform.stub.waiting == 2)
        platform.stub.silence()
        first.daemon.close()
        write_configuration(platform.stub, 5)
        await wait_until(lambda: second.holder.version == 5)


@pytest.mark.usefixtures('long_waits')
async def test_read_ends_if_another_daemon_has_what_it_waits_for(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(f'{WATCH}._OVERDUE_TIMEOUT_S', 0.05)
    async with open_store() as (stub, _):
        write_configuration(stub, 3)
        async with run_watch(stub) as holder:
            await wait_until(lambda: holder.version == 3)
            await wait_until(lambda: stub.waiting == 1)
            stub.silence()
            holder.offer(make_snapshot(4))
            write_configuration(stub, 5)
            await wait_until(lambda: holder.version == 5)


@pytest.mark.usefixtures('long_waits')
async def test_read_ends_if_another_reader_has_lost_the_store() -> None:
    """The store may turn the whole zone away without an answer."""
    async with open_platform(3) as platform:
        await wait_until(lambda: sum(map(is_first, platform.vms)) == 1)
        calls = len(platform.stub.calls)
        losing = next(vm for vm in platform.vms if not is_first(vm))
        losing.daemon.reader_role.record_contact(has_contact=False)
        await wait_until(lambda: '/-/log-newest' in platform.stub.calls[calls:])


class TimedStore:
    """A store that records how long the first read may take."""

    def __init__(self) -> None:
        self.limit = asyncio.get_running_loop().create_future()

    async def newest(self, _topic: str) -> Page:
        return Page(records=(KeyedRecord(key='k', payload=b'v'),), end=1)

    async def read(
        self,
        _topic: str,
        *,
        wait: float,
        answer_timeout: float,
        **_: object,
    ) -> Page:
        self.limit.set_result(wait + answer_timeout)
        return await asyncio.get_running_loop().create_future()


async def test_first_reader_notices_a_silence_after_a_change_in_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The time for which it gathers changes counts."""
    monkeypatch.setattr(f'{WATCH}._COALESCING_WINDOW_S', 0.3)
    monkeypatch.setattr(f'{WATCH}._LEAD_WAIT_S', 0.5)
    monkeypatch.setattr(f'{WATCH}._LEAD_ANSWER_TIMEOUT_S', 0.2)
    store = TimedStore()
    watch = ConfigurationWatch(
        store=cast(Store, store),
        loader=ConfigurationLoader(holder=PolicyHolder()),
        rng=make_rng(),
        role=FakeRole(is_first=True),
        epochs=StoreEpochs(),
    )
    running = asyncio.create_task(watch.run())
    async with asyncio.timeout(5):
        assert await store.limit <= 0.7 - 0.3
    running.cancel()


class SilentOrders:
    """Orders whose statuses the store never answers for."""

    async def offer_newest(self, _store: object, _page: object) -> None:
        await asyncio.get_running_loop().create_future()

    def offer(self, _page: object) -> None:
        raise OverflowError


class FailingOrders(SilentOrders):
    async def offer_newest(self, _store: object, page: object) -> None:
        self.offer(page)


@pytest.mark.parametrize('orders', [SilentOrders(), FailingOrders()])
async def test_orders_do_not_hold_up_a_configuration(
    orders: SilentOrders,
) -> None:
    async with open_store() as (stub, _):
        write_configuration(stub, 3)
        async with run_watch(stub, orders=orders) as holder:
            await wait_until(lambda: holder.version == 3)
            if isinstance(orders, FailingOrders):
                write_configuration(stub, 4)
                await wait_until(lambda: holder.version == 4)


async def test_daemon_knows_that_its_read_waits() -> None:
    async with open_platform(1) as platform:
        core = platform.vms[0].daemon.core
        assert core.reader_election.is_waiting
