"""Test daemons against a store that comes back from an older copy."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import attrs
import pytest

from goldcrestwharf.platform._store import Store
from test.platform.helper import StubStore, open_stub, run_platform_tasks
from test.platform.test_store import write_configuration
from test.proxy.helper import Vm, open_vms, wait_until

WATCH = 'goldcrestwharf.platform._watch'
STORE = 'goldcrestwharf.platform._store'
CONFIGURATION = 'keyed.op'
DAEMONS = 'keyed.daemons'

#: Longer than any test.
NEVER_S = 3600


@attrs.frozen(kw_only=True)
class Platform:
    """A store and the daemons of one availability zone."""

    stub: StubStore
    vms: list[Vm]


@asynccontextmanager
async def open_platform(
    count: int,
) -> AsyncIterator[Platform]:
    """Yield a store at version 3 and daemons of one zone that read it."""
    async with open_stub() as stub, open_vms(count, zones=('zone-a',)) as vms:
        write_configuration(stub, 3)
        async with run_platform_tasks(stub, vms):
            await wait_until(lambda: {one.holder.version for one in vms} == {3})
            await wait_until(lambda: stub.waiting == count)
            yield Platform(stub=stub, vms=vms)


@pytest.fixture
def short_waits(monkeypatch: pytest.MonkeyPatch) -> None:
    """Reads return soon, so that a test doesn't wait for them."""
    for name in ('_MIN_WAIT_S', '_MAX_WAIT_S', '_LEAD_WAIT_S'):
        monkeypatch.setattr(f'{WATCH}.{name}', 0.02, raising=False)
    monkeypatch.setattr(f'{WATCH}._COALESCING_WINDOW_S', 0)


@pytest.mark.usefixtures('short_waits')
async def test_restored_store_does_not_hide_versions_at_reused_offsets() -> (
    None
):
    async with open_platform(1) as platform:
        write_configuration(platform.stub, 4)
        await wait_until(lambda: platform.vms[0].holder.version == 4)
        platform.stub.restore(CONFIGURATION, 0, swallows=False)
        # Two records again, so the end is the offset that was read last.
        write_configuration(platform.stub, 4)
        write_configuration(platform.stub, 6)
        await wait_until(lambda: platform.vms[0].holder.version == 6)


@pytest.mark.usefixtures('short_waits')
async def test_restored_store_without_the_offset_is_read_anew() -> None:
    async with open_platform(1) as platform:
        write_configuration(platform.stub, 4)
        await wait_until(lambda: platform.vms[0].holder.version == 4)
        platform.stub.restore(CONFIGURATION, 0, swallows=False)
        write_configuration(platform.stub, 6)
        await wait_until(lambda: platform.vms[0].holder.version == 6)


async def test_restored_store_that_swallows_reads_does_not_delay_versions(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    for name in ('_MIN_WAIT_S', '_MAX_WAIT_S'):
        monkeypatch.setattr(f'{WATCH}.{name}', NEVER_S)
    monkeypatch.setattr(f'{WATCH}._LEAD_WAIT_S', 0.05, raising=False)
    monkeypatch.setattr(f'{STORE}._ANSWER_TIMEOUT_S', 0.3)
    async with open_platform(4) as platform:
        platform.stub.restore(CONFIGURATION, 0, swallows=True)
        await asyncio.sleep(0)
        write_configuration(platform.stub, 3)
        write_configuration(platform.stub, 5)
        await wait_until(
            lambda: {one.holder.version for one in platform.vms} == {5}
        )


async def test_restore_noticed_by_another_call_ends_a_read_that_waits(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    for name in ('_MIN_WAIT_S', '_MAX_WAIT_S', '_LEAD_WAIT_S'):
        monkeypatch.setattr(f'{WATCH}.{name}', NEVER_S)
    async with open_platform(1) as platform:
        platform.stub.restore(CONFIGURATION, 0, swallows=True)
        write_configuration(platform.stub, 5)
        core = platform.vms[0].daemon.core
        epochs = core.store_epochs
        store = Store(address=platform.stub.address, epochs=epochs)
        await store.newest(DAEMONS)
        store.close()
        await wait_until(lambda: platform.vms[0].holder.version == 5)


@pytest.mark.usefixtures('short_waits')
async def test_lost_records_of_daemons_are_written_to_a_restored_store() -> (
    None
):
    async with open_platform(3) as platform:
        names = {'vm-0', 'vm-1', 'vm-2'}
        await wait_until(lambda: names <= platform.stub.newest[DAEMONS].keys())
        platform.stub.restore(DAEMONS, 0, swallows=False)
        assert not platform.stub.newest[DAEMONS]
        await wait_until(lambda: names <= platform.stub.newest[DAEMONS].keys())


@pytest.mark.usefixtures('short_waits')
async def test_lost_record_of_a_daemon_at_a_reused_offset_is_written() -> None:
    """A daemon's record is lost, but its offset holds another record."""
    async with open_platform(2) as platform:
        await wait_until(lambda: len(platform.stub.newest[DAEMONS]) == 2)
        platform.stub.restore(DAEMONS, 0, swallows=False)
        platform.stub.put(DAEMONS, 'vm-8', b'{}')
        platform.stub.put(DAEMONS, 'vm-9', b'{}')
        await wait_until(lambda: len(platform.stub.newest[DAEMONS]) == 4)
