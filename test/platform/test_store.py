"""Check the client of the store against a stand-in with faults."""

import asyncio
import json
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

import attrs
import pytest

from goldcrestwharf.discovery import StoreEpochs
from goldcrestwharf.platform._configuration_loader import ConfigurationLoader
from goldcrestwharf.platform._store import (
    HistoryGoneError,
    KeyedRecord,
    Store,
    StoreError,
)
from goldcrestwharf.platform._watch import ConfigurationWatch
from goldcrestwharf.policy import PolicyHolder
from test.helper import make_rng
from test.platform.helper import StubStore, make_announcer, make_configuration
from test.proxy.helper import TEST_TIMEOUT_S, open_vm, wait_until

TOPIC = 'keyed.test'
STORE_TIMEOUT = 'goldcrestwharf.platform._store._ANSWER_TIMEOUT_S'


@asynccontextmanager
async def open_store() -> AsyncIterator[tuple[StubStore, Store]]:
    stub = StubStore()
    await stub.listen()
    store = Store(address=stub.address, epochs=StoreEpochs())
    try:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            yield stub, store
    finally:
        store.close()
        stub.close()


async def test_newest_records_are_read_from_all_pages() -> None:
    async with open_store() as (stub, store):
        for number in range(5):
            stub.put(TOPIC, f'key-{number}', b'old')
            stub.put(TOPIC, f'key-{number}', b'%d' % number)
        page = await store.newest(TOPIC)
    assert [record.payload for record in page.records] == [
        b'%d' % number for number in range(5)
    ]
    assert page.end == 10


async def test_appended_record_is_read_back() -> None:
    async with open_store() as (_, store):
        await store.append(TOPIC, KeyedRecord(key='k', payload=b'v'))
        page = await store.read(TOPIC, offset=0, wait=0.01)
    assert page.records == (KeyedRecord(key='k', payload=b'v'),)
    assert page.end == 1


async def test_read_waits_for_the_next_record() -> None:
    async with open_store() as (stub, store):
        reading = asyncio.create_task(store.read(TOPIC, offset=0, wait=5))
        await wait_until(lambda: bool(stub.calls))
        stub.put(TOPIC, 'k', b'v')
        page = await reading
    assert page.records[0].payload == b'v'


async def test_read_without_new_records_is_empty() -> None:
    async with open_store() as (_, store):
        page = await store.read(TOPIC, offset=0, wait=0.02)
    assert not page.records


async def test_read_from_a_discarded_offset_is_an_error() -> None:
    async with open_store() as (stub, store):
        stub.put(TOPIC, 'k', b'v')
        stub.discard_history(TOPIC)
        with pytest.raises(HistoryGoneError):
            await store.read(TOPIC, offset=0, wait=0.01)


@pytest.mark.parametrize(
    ('fault', 'may_have_run'),
    [(503, False), (429, False), ('lost', True), ('silent', True)],
)
async def test_failed_call_reports_whether_it_may_have_run(
    monkeypatch: pytest.MonkeyPatch,
    fault: int | str,
    may_have_run: bool,
) -> None:
    monkeypatch.setattr(STORE_TIMEOUT, 0.1)
    async with open_store() as (stub, store):
        stub.faults = [fault]
        with pytest.raises(StoreError) as caught:
            await store.append(TOPIC, KeyedRecord(key='k', payload=b'v'))
        assert caught.value.may_have_run == may_have_run
        # The next call succeeds, on a new connection if necessary.
        await store.newest(TOPIC)


async def test_call_to_an_unreachable_store_has_not_run() -> None:
    async with open_store() as (stub, store):
        stub.close()
        with pytest.raises(StoreError) as caught:
            await store.newest(TOPIC)
    assert not caught.value.may_have_run


def write_configuration(stub: StubStore, version: int) -> None:
    written = json.dumps(make_configuration(version)).encode()
    stub.put('keyed.op', 'config', written)


@attrs.define(kw_only=True)
class FakeRole:
    """A role that the test sets; it records the contacts with the store."""

    is_active: bool = True
    is_first: bool = False
    contacts: list[bool] = attrs.field(factory=list)

    def is_reader(self) -> bool:
        return self.is_active

    def is_lead(self) -> bool:
        return self.is_first

    def watch_stale_read(self, handle_stale_read: Callable[[], None]) -> None:
        """Ignore the watcher."""

    def record_contact(self, *, has_contact: bool) -> None:
        self.contacts.append(has_contact)

    def record_wait(self, *, is_waiting: bool) -> None:
        """Ignore the wait."""


@asynccontextmanager
async def run_watch(
    stub: StubStore,
    role: FakeRole | None = None,
    orders: Any = None,
) -> AsyncIterator[PolicyHolder]:
    holder = PolicyHolder()
    epochs = StoreEpochs()
    watch = ConfigurationWatch(
        store=Store(address=stub.address, epochs=epochs),
        loader=ConfigurationLoader(holder=holder),
        rng=make_rng(),
        role=role or FakeRole(),
        epochs=epochs,
    )
    watch.orders = orders
    task = asyncio.create_task(watch.run())
    try:
        yield holder
    finally:
        task.cancel()


async def test_each_new_version_in_the_store_is_adopted() -> None:
    async with open_store() as (stub, _):
        write_configuration(stub, 3)
        async with run_watch(stub) as holder:
            await wait_until(lambda: holder.version == 3)
            write_configuration(stub, 5)
            await wait_until(lambda: holder.version == 5)


@pytest.mark.parametrize('fault', [503, 429])
async def test_call_refused_by_the_store_is_retried(
    fault: int,
) -> None:
    async with open_store() as (stub, _):
        write_configuration(stub, 3)
        stub.faults = [fault, fault]
        async with run_watch(stub) as holder:
            await wait_until(lambda: holder.version == 3)


async def test_newest_version_is_read_after_the_history_is_discarded() -> None:
    async with open_store() as (stub, _):
        write_configuration(stub, 3)
        async with run_watch(stub) as holder:
            await wait_until(lambda: '/-/log-read' in stub.calls)
            stub.faults = [410]
            write_configuration(stub, 4)
            await wait_until(lambda: holder.version == 4)
            write_configuration(stub, 6)
            stub.discard_history('keyed.op')
            await wait_until(lambda: holder.version == 6)


async def test_unreadable_and_older_records_are_ignored() -> None:
    async with open_store() as (stub, _):
        write_configuration(stub, 5)
        async with run_watch(stub) as holder:
            await wait_until(lambda: holder.version == 5)
            stub.put('keyed.op', 'config', b'{cut short')
            write_configuration(stub, 4)
            stub.put('keyed.op', 'other', b'of no matter')
            write_configuration(stub, 6)
            await wait_until(lambda: holder.version == 6)


async def test_newest_version_is_adopted_after_a_burst_of_changes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """There are more changes than one call of the store returns."""
    monkeypatch.setattr('goldcrestwharf.platform._watch._MAX_PAGE_BYTES', 1024)
    async with open_store() as (stub, _):
        write_configuration(stub, 1)
        async with run_watch(stub) as holder:
            await wait_until(lambda: holder.version == 1)
            for version in range(2, 30):
                write_configuration(stub, version)
            await wait_until(lambda: holder.version == 29)


async def test_daemon_that_is_no_reader_does_not_call_the_store() -> None:
    role = FakeRole(is_active=False)
    async with open_store() as (stub, _):
        write_configuration(stub, 1)
        async with run_watch(stub, role) as holder:
            await asyncio.sleep(0.05)
            assert not stub.calls
            role.is_active = True
            await wait_until(lambda: holder.version == 1)
            assert role.contacts == [True]


async def test_failed_read_is_recorded_as_lost_contact() -> None:
    role = FakeRole()
    async with open_store() as (stub, _):
        write_configuration(stub, 1)
        async with run_watch(stub, role) as holder:
            await wait_until(lambda: holder.version == 1)
            stub.faults = [503]
            write_configuration(stub, 2)
            await wait_until(lambda: False in role.contacts)


async def test_daemons_discover_each_other_through_the_store() -> None:
    async with (
        open_store() as (stub, _),
        open_vm() as one,
        open_vm(prefix='other') as other,
    ):
        stub.put('keyed.daemons', 'forged', b'no JSON')
        stub.put('keyed.daemons', 'vm-9', b'{"address": "x"}')
        tasks = [asyncio.create_task(make_announcer(one, stub).run())]
        await wait_until(lambda: stub.calls.count('/-/log-newest') == 2)
        stub.faults = [503]
        tasks.append(asyncio.create_task(make_announcer(other, stub).run()))
        known = one.daemon.core.directory.records
        await wait_until(
            lambda: [found.name for found in known()] == ['other-0'],
        )
        for task in tasks:
            task.cancel()


async def test_another_epoch_of_the_store_is_logged_once(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level('INFO')
    async with open_store() as (stub, store):
        await store.newest(TOPIC)
        await store.newest(TOPIC)
        stub.restore(TOPIC, 0, swallows=False)
        await store.newest(TOPIC)
    events = [record.message for record in caplog.records]
    assert events.count('store.epoch') == 2
