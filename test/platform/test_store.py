"""Test the store's client against a stand-in, in a table of faults."""

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import attrs
import pytest

from goldcrestwharf.platform._announce import announce
from goldcrestwharf.platform._intake import ConfigurationIntake
from goldcrestwharf.platform._store import (
    HistoryGoneError,
    KeyedRecord,
    Store,
    StoreError,
)
from goldcrestwharf.platform._watch import ConfigurationWatch
from goldcrestwharf.policy import PolicyHolder
from test.helper import make_rng
from test.platform.helper import StubStore, make_configuration
from test.proxy.helper import TEST_TIMEOUT_S, open_vm, wait_until

TOPIC = 'keyed.test'
STORE_TIMEOUT = 'goldcrestwharf.platform._store._ANSWER_TIMEOUT_S'


@asynccontextmanager
async def open_store() -> AsyncIterator[tuple[StubStore, Store]]:
    stub = StubStore()
    await stub.listen()
    store = Store(address=stub.address)
    try:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            yield stub, store
    finally:
        store.close()
        stub.close()


async def test_newest_records_are_read_over_all_pages() -> None:
    async with open_store() as (stub, store):
        for number in range(5):
            stub.put(TOPIC, f'key-{number}', b'old')
            stub.put(TOPIC, f'key-{number}', b'%d' % number)
        page = await store.newest(TOPIC)
    assert [record.payload for record in page.records] == [
        b'%d' % number for number in range(5)
    ]
    assert page.end == 10


async def test_append_is_read_back() -> None:
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


async def test_read_without_news_is_empty() -> None:
    async with open_store() as (_, store):
        page = await store.read(TOPIC, offset=0, wait=0.02)
    assert not page.records


async def test_history_that_is_gone_is_told() -> None:
    async with open_store() as (stub, store):
        stub.put(TOPIC, 'k', b'v')
        stub.forget_history(TOPIC)
        with pytest.raises(HistoryGoneError):
            await store.read(TOPIC, offset=0, wait=0.01)


@pytest.mark.parametrize(
    ('fault', 'may_have_run'),
    [(503, False), (429, False), ('lost', True), ('silent', True)],
)
async def test_failed_call_tells_whether_it_may_have_run(
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
        # The next call is answered, on another connection if need be.
        await store.newest(TOPIC)


async def test_store_that_is_away_is_told() -> None:
    async with open_store() as (stub, store):
        stub.close()
        with pytest.raises(StoreError) as caught:
            await store.newest(TOPIC)
    assert not caught.value.may_have_run


def write_configuration(stub: StubStore, version: int) -> None:
    written = json.dumps(make_configuration(version)).encode()
    stub.put('keyed.op', 'config', written)


@attrs.define(kw_only=True)
class Duty:
    """Read if the test says so, and keep what is told of the store."""

    is_due: bool = True
    contacts: list[bool] = attrs.field(factory=list)

    def is_reader(self) -> bool:
        return self.is_due

    def note_contact(self, *, has_contact: bool) -> None:
        self.contacts.append(has_contact)


@asynccontextmanager
async def follow(
    stub: StubStore,
    duty: Duty | None = None,
) -> AsyncIterator[PolicyHolder]:
    holder = PolicyHolder()
    watch = ConfigurationWatch(
        store=Store(address=stub.address),
        intake=ConfigurationIntake(holder=holder),
        rng=make_rng(),
        duty=duty or Duty(),
    )
    task = asyncio.create_task(watch.run())
    try:
        yield holder
    finally:
        task.cancel()


async def test_each_version_of_the_store_comes_into_force() -> None:
    async with open_store() as (stub, _):
        write_configuration(stub, 3)
        async with follow(stub) as holder:
            await wait_until(lambda: holder.version == 3)
            write_configuration(stub, 5)
            await wait_until(lambda: holder.version == 5)


@pytest.mark.parametrize('fault', [503, 429])
async def test_store_that_refuses_for_a_while_is_asked_again(
    fault: int,
) -> None:
    async with open_store() as (stub, _):
        write_configuration(stub, 3)
        stub.faults = [fault, fault]
        async with follow(stub) as holder:
            await wait_until(lambda: holder.version == 3)


async def test_history_that_is_gone_is_replaced_by_the_newest() -> None:
    async with open_store() as (stub, _):
        write_configuration(stub, 3)
        async with follow(stub) as holder:
            await wait_until(lambda: '/-/log-read' in stub.calls)
            stub.faults = [410]
            write_configuration(stub, 4)
            await wait_until(lambda: holder.version == 4)
            write_configuration(stub, 6)
            stub.forget_history('keyed.op')
            await wait_until(lambda: holder.version == 6)


async def test_records_that_are_unreadable_or_older_change_nothing() -> None:
    async with open_store() as (stub, _):
        write_configuration(stub, 5)
        async with follow(stub) as holder:
            await wait_until(lambda: holder.version == 5)
            stub.put('keyed.op', 'config', b'{cut short')
            write_configuration(stub, 4)
            stub.put('keyed.op', 'other', b'of no matter')
            write_configuration(stub, 6)
            await wait_until(lambda: holder.version == 6)


async def test_burst_of_changes_ends_with_the_newest(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """More changes than one call brings come while the daemon gathers."""
    monkeypatch.setattr('goldcrestwharf.platform._watch._MOST_BYTES', 1024)
    async with open_store() as (stub, _):
        write_configuration(stub, 1)
        async with follow(stub) as holder:
            await wait_until(lambda: holder.version == 1)
            for version in range(2, 30):
                write_configuration(stub, version)
            await wait_until(lambda: holder.version == 29)


async def test_daemon_that_others_read_for_leaves_the_store_alone() -> None:
    duty = Duty(is_due=False)
    async with open_store() as (stub, _):
        write_configuration(stub, 1)
        async with follow(stub, duty) as holder:
            await asyncio.sleep(0.05)
            assert not stub.calls
            duty.is_due = True
            await wait_until(lambda: holder.version == 1)
            assert duty.contacts == [True]


async def test_lost_store_ends_the_claim_to_read_from_it() -> None:
    duty = Duty()
    async with open_store() as (stub, _):
        write_configuration(stub, 1)
        async with follow(stub, duty) as holder:
            await wait_until(lambda: holder.version == 1)
            stub.faults = [503]
            write_configuration(stub, 2)
            await wait_until(lambda: False in duty.contacts)


async def test_daemons_find_each_other_through_the_store() -> None:
    async with (
        open_store() as (stub, _),
        open_vm() as one,
        open_vm(prefix='other') as other,
    ):
        stub.put('keyed.daemons', 'forged', b'no JSON')
        stub.put('keyed.daemons', 'vm-9', b'{"address": "x"}')
        await announce(one.daemon, stub.address)
        stub.faults = [503]
        await announce(other.daemon, stub.address)
        known = one.daemon.core.directory.records
        await wait_until(
            lambda: [found.name for found in known()] == ['other-0'],
        )
